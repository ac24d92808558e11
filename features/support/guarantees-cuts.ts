import type { CutRule } from '../../harness/cut-rule.js';
import type { TcpRelay } from '../../harness/tcp-relay.js';

type CutPoint = Omit<CutRule, 'request' | 'count'>;

/** Fewer bytes than the head of any response. */
const PARTIAL_HEAD_BYTES = 40;

/** Points in a request or its response, by their name in the feature files. */
const CUT_POINTS: Readonly<Record<string, CutPoint>> = {
  'before the request body': { bodyBytes: 0 },
  'in the request body': { bodyBytes: 5 },
  'after the request body': { answerBytes: 0 },
  'in the headers of the answer': { answerBytes: PARTIAL_HEAD_BYTES },
  'in mid-stream': { answerText: '"index":4' },
  'before the end of the answer': { answerText: '"end"' },
};

/**
 * Cuts connections at a point of a request or its response.
 *
 * @param relay - the relay in front of a server
 * @param point - name of the point
 * @param request - text in the request line of the requests to cut
 * @param count - number of requests to cut
 */
export function addCut(relay: TcpRelay, point: string, request: string, count: number): void {
  const found = CUT_POINTS[point];
  if (!found) throw new Error(`no cut point ${point}`);
  // A response of a plain service has no end marker; its last field serves as one.
  const isStream = request.includes('/v1/');
  const text = found.answerText === undefined || isStream ? {} : { answerText: '"bodyHash"' };
  relay.cutAt({ ...found, ...text, request, count });
}
