import { replyError, replyJson, type Call, type Reply } from '../shared/call.js';
import type { EngineState } from './engine-state.js';
import { importKv, type KvImport } from './kv-import.js';
import { replyCancelled, serveValidated } from './parse-call.js';
import { transferSchema } from './request-schema.js';

/**
 * Serves `POST /v1/transfers`.
 *
 * @param state - the engine
 * @param call - the call
 * @returns the answer
 */
export function transfer(state: EngineState, call: Call): Reply | Promise<Reply> {
  return serveValidated(state, call, { schema: transferSchema, role: 'decode' }, async (body) => {
    const { attemptId, reservationId, prefillId, source } = body;
    const reservation = state.reservations.find(attemptId, reservationId);
    if (!reservation) return replyError(404, 'unknown reservation');
    if (reservation.importing) return replyError(409, 'a transfer for this attempt is running');
    const startMs = performance.now();
    const replyComplete = (bytes: number) => {
      const elapsedMs = Math.round(performance.now() - startMs);
      return replyJson(200, { attemptId, reservationId, bytes, elapsedMs });
    };
    if (reservation.content) return replyComplete(0);
    state.history.attempts.recordPhase(body, 'transfer');
    const hold = state.memory.acquire(body, 'transfer', 0);
    state.reservations.beginImport(reservation);
    const signal = state.cancellations.signal(attemptId);
    const result =
      importLocal(state, prefillId) ?? (await importKv(source, prefillId, state.link, signal));
    if (hold) state.memory.release(hold);
    const content = result.kind === 'imported' ? result.content : undefined;
    state.reservations.endImport(reservation, content);
    if (signal.aborted) return replyCancelled();
    if (result.kind === 'expired') return replyError(409, 'the prefill result has expired');
    if (result.kind === 'broken') return replyError(502, result.message);
    const { promptTokens, model } = result.content;
    state.history.attempts.recordPhase(body, 'transferred', { promptTokens, model });
    return replyComplete(result.bytes);
  });
}

/** Imports a prefill result of this same engine, for which no bytes are transferred. */
function importLocal(state: EngineState, prefillId: string): KvImport | undefined {
  const content = state.results.beginExport(prefillId);
  if (!content) return undefined;
  state.results.endExport(prefillId, true);
  state.releasePrefill(content.attempt.attemptId, 'exported');
  return { kind: 'imported', content, bytes: 0 };
}
