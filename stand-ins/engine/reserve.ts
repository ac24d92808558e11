import { replyError, replyJson, type Call, type Reply } from '../shared/call.js';
import type { EngineState } from './engine-state.js';
import { withBody } from './parse-call.js';
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
  return withBody(state, call, { schema: reservationSchema, role: 'decode' }, (body) => {
    const known = state.reservations.find(body.attemptId);
    if (known) return replyReservation(known);
    if (!state.memory.take(body, 'decode', body.blocks, 1)) return replyError(429, 'no room');
    state.history.attempts.enter(body, 'reserved', { model: body.model });
    return replyReservation(state.reservations.add(body));
  });
}

function replyReservation({ reservationId, expiresMs }: EngineReservation): Reply {
  const expiresInMs = Math.max(0, Math.round(expiresMs - performance.now()));
  return replyJson(200, { reservationId, expiresInMs });
}
