import { replyError, type Call, type Reply } from '../shared/call.js';
import type { FaultList } from '../shared/faults.js';
import { crash } from './crash.js';
import { DecodeStream, type StreamFault } from './decode-stream.js';
import type { EngineState } from './engine-state.js';
import { Generation } from './generation.js';
import type { KvContent } from './kv-content.js';
import { serveValidated } from './parse-call.js';
import { decodeSchema, type AttemptFields } from './request-schema.js';

/**
 * Serves `POST /v1/decode`.
 *
 * @param state - the engine
 * @param call - the call
 * @param faults - faults that change the stream or crash the process on a prompt
 * @returns the answer
 */
export function decode(state: EngineState, call: Call, faults: FaultList): Reply | Promise<Reply> {
  return serveValidated(state, call, { schema: decodeSchema, role: 'decode' }, (body) => {
    const { attemptId, reservationId, maxTokens, fromIndex } = body;
    const existing = state.generations.find(attemptId, reservationId);
    if (existing) return replyStream(state, call, faults, existing, fromIndex);
    const reservation = state.reservations.find(attemptId, reservationId);
    if (!reservation) return replyError(404, 'unknown reservation');
    if (!reservation.content) return replyError(409, 'the KV cache is not there');
    if (faults.consumeCrashFault(call, reservation.content.prompt)) crash();
    const generation = startGeneration(state, body, reservation.content, maxTokens);
    state.generations.add(generation, reservationId);
    return replyStream(state, call, faults, generation, fromIndex);
  });
}

function startGeneration(
  state: EngineState,
  attempt: AttemptFields,
  content: KvContent,
  maxTokens: number,
): Generation {
  const { attemptId } = attempt;
  const { attempts } = state.history;
  attempts.recordPhase(attempt, 'decode');
  return Generation.create(attemptId, content, maxTokens, {
    tokenMs: state.options.tokenMs,
    slowdownFactor: () => (state.queue.running ? state.options.prefillSlowdown : 1),
    onToken: (produced) => attempts.recordTokens(attemptId, produced),
    onEnd: () => {
      state.endAttempt(attemptId, 'complete');
      state.generations.scheduleRemoval(attemptId);
    },
  });
}

function replyStream(
  state: EngineState,
  call: Call,
  faults: FaultList,
  generation: Generation,
  fromIndex: number,
): Reply {
  const { attemptId } = generation;
  const { attempts } = state.history;
  const fault: StreamFault = {
    kind: faults.consumeStreamFault(call),
    endedAttemptId: attempts.findOtherId(attemptId, true),
    runningAttemptId: attempts.findOtherId(attemptId, false),
  };
  return {
    status: 200,
    headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store' },
    write: async (response) => {
      const stream = DecodeStream.create(response, generation, fromIndex, fault);
      state.generations.attachStream(attemptId, stream);
      await stream.run();
    },
  };
}
