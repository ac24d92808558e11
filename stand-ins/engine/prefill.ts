import type { z } from 'zod';

import { replyError, replyJson, type Call, type Reply } from '../shared/call.js';
import type { FaultList } from '../shared/faults.js';
import { crash } from './crash.js';
import type { EngineState } from './engine-state.js';
import { replyCancelled, serveValidated } from './parse-call.js';
import { prefillSchema } from './request-schema.js';

type PrefillBody = z.infer<typeof prefillSchema>;

/**
 * Serves `POST /v1/prefill`.
 *
 * @param state - the engine
 * @param call - the call
 * @param faults - faults that crash the process on a prompt
 * @returns the answer
 */
export function prefill(state: EngineState, call: Call, faults: FaultList): Reply | Promise<Reply> {
  return serveValidated(state, call, { schema: prefillSchema, role: 'prefill' }, async (body) => {
    if (faults.consumeCrashFault(call, body.prompt)) crash();
    const { blockTokens, bytesPerToken } = state.options;
    const promptTokens = Math.ceil(Buffer.byteLength(body.prompt) / bytesPerToken);
    const hold = state.memory.acquire(body, 'prefill', Math.ceil(promptTokens / blockTokens));
    if (!hold) return replyError(429, 'no room');
    state.history.attempts.recordPhase(body, 'prefill', { model: body.model, promptTokens });
    const computedTokens = await compute(state, body, promptTokens);
    if (computedTokens !== undefined) return replyResult(state, body, promptTokens, computedTokens);
    state.memory.release(hold);
    return replyCancelled();
  });
}

/** Returns the number of computed (not cached) tokens, or undefined for a cancelled attempt. */
async function compute(
  state: EngineState,
  { attemptId, prompt, priority }: PrefillBody,
  promptTokens: number,
): Promise<number | undefined> {
  const signal = state.cancellations.signal(attemptId);
  const countUncachedTokens = () =>
    Math.max(0, promptTokens - state.cache.countCachedTokens(prompt));
  const computedTokens = await state.queue.run({ priority, countUncachedTokens, signal });
  state.history.addPrefillTokens(computedTokens);
  if (!signal.aborted) return computedTokens;
  state.history.addWastedPrefillTokens(computedTokens);
  return undefined;
}

function replyResult(
  state: EngineState,
  body: PrefillBody,
  promptTokens: number,
  computedTokens: number,
): Reply {
  const { attemptId, prompt, model } = body;
  state.cache.store(prompt);
  state.history.attempts.recordPhase(body, 'prefilled');
  const kvBytes = promptTokens * state.options.kvBytesPerToken;
  const fields = { attempt: body, model, prompt, promptTokens, computedTokens, kvBytes };
  const { prefillId } = state.results.add(fields);
  const cachedTokens = promptTokens - computedTokens;
  const expiresInMs = state.options.prefillResultMs;
  const answer = { attemptId, prefillId, promptTokens, cachedTokens, kvBytes, expiresInMs };
  return replyJson(200, answer);
}
