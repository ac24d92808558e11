import { replyError, replyJson, type Call, type Reply } from '../shared/call.js';
import type { EngineState } from './engine-state.js';
import { serveValidated } from './parse-call.js';
import { reservationSchema } from './request-schema.js';
import type { EngineReservation } from './reservations.js';

/**
 * Serves `POST /v1/reservations`.
 *
 * @param state - the engine
 * @param call - the call
 * @returns the answer
 */
export function reserve(state: EngineState, call: Call): Reply | Promise<Reply> {
  return serveValidated(state, call, { schema: reservationSchema, role: 'decode' }, (body) => {
    const existing = state.reservations.find(body.attemptId);
    if (existing) return replyReservation(existing);
    if (!state.memory.acquire(body, 'decode', body.blocks, 1)) return replyError(429, 'no room');
    state.history.attempts.recordPhase(body, 'reserved', { model: body.model });
    return replyReservation(state.reservations.add(body));
  });
}

function replyReservation({ reservationId, expiresAtMs }: EngineReservation): Reply {
  const expiresInMs = Math.max(0, Math.round(expiresAtMs - performance.now()));
  return replyJson(200, { reservationId, expiresInMs });
}
