import { replyError, type Call, type Reply } from '../shared/call.js';
import { writeBytes } from '../shared/write-bytes.js';
import type { EngineState } from './engine-state.js';
import { CONTENT_BYTES_HEADER, encodeContent } from './kv-content.js';

/**
 * Serves `GET /v1/export`.
 *
 * @param state - the engine
 * @param call - the call
 * @returns the answer
 */
export function exportKv(state: EngineState, call: Call): Reply {
  const prefillId = call.query.get('prefillId') ?? '';
  const result = state.results.find(prefillId);
  if (!result) return replyError(409, 'the prefill result has expired');
  const content = encodeContent(result);
  return {
    status: 200,
    headers: {
      'content-type': 'application/octet-stream',
      'content-length': String(content.length + result.kvBytes),
      [CONTENT_BYTES_HEADER]: String(content.length),
    },
    write: async (response) => {
      if (!state.results.beginExport(prefillId)) {
        response.destroy();
        return;
      }
      response.write(content);
      const complete = await writeBytes(response, result.kvBytes, state.link);
      const { attemptId } = result.attempt;
      if (state.results.endExport(prefillId, complete)) state.releasePrefill(attemptId, 'exported');
    },
  };
}
