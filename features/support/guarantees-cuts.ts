import type { CutRule } from '../../harness/cut-rule.js';
import type { TcpRelay } from '../../harness/tcp-relay.js';

type CutPlace = Omit<CutRule, 'request' | 'count'>;

/** Bytes that are less than the head of any answer. */
const PART_OF_HEAD = 40;

/** Places of a request and its answer by the name in the features. */
const CUT_PLACES: Readonly<Record<string, CutPlace>> = {
  'before the request body': { bodyBytes: 0 },
  'in the request body': { bodyBytes: 5 },
  'after the request body': { answerBytes: 0 },
  'in the headers of the answer': { answerBytes: PART_OF_HEAD },
  'in mid-stream': { answerText: '"index":4' },
  'before the end of the answer': { answerText: '"end"' },
};

/**
 * Cuts connections at a place.
 *
 * @param relay - the relay before a server
 * @param place - name of the place
 * @param request - text in the first line of the requests to cut
 * @param count - number of requests to cut
 */
export function addCut(relay: TcpRelay, place: string, request: string, count: number): void {
  const found = CUT_PLACES[place];
  if (!found) throw new Error(`no place ${place}`);
  // An answer of a plain service has no end marker; its last field takes the place of one.
  const isStream = request.includes('/v1/');
  const text = found.answerText === undefined || isStream ? {} : { answerText: '"bodyHash"' };
  relay.cutAt({ ...found, ...text, request, count });
}
