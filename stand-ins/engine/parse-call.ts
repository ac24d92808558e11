import { z } from 'zod';

import { readJson, replyError, type Call, type Reply } from '../shared/call.js';
import type { EngineState } from './engine-state.js';
import type { Role } from './options.js';
import type { AttemptFields } from './request-schema.js';

/** Conditions under which a call is served. */
export interface CallRequirements<Body extends AttemptFields> {
  readonly schema: z.ZodType<Body>;
  /** Role that the engine must have; `both` always suffices. */
  readonly role: Role;
}

/**
 * Validates a call that concerns an attempt and serves it.
 *
 * @param state - the engine
 * @param call - the call
 * @param requirements - schema of the body and role of the engine
 * @param serve - serves the call with the parsed body
 * @returns the answer; 400 for a malformed body or the wrong role, 404 for an unknown model, 410
 * for a cancelled attempt
 */
export function serveValidated<Body extends AttemptFields>(
  state: EngineState,
  call: Call,
  requirements: CallRequirements<Body>,
  serve: (body: Body) => Reply | Promise<Reply>,
): Reply | Promise<Reply> {
  const parsed = requirements.schema.safeParse(readJson(call));
  if (!parsed.success) return replyError(400, z.prettifyError(parsed.error));
  if (state.role !== 'both' && state.role !== requirements.role) {
    return replyError(400, `the role of this engine is ${state.role}`);
  }
  const { model } = parsed.data as { model?: string };
  const { models } = state.options;
  if (model !== undefined && models.length > 0 && !models.includes(model)) {
    return replyError(404, `no model ${model}`);
  }
  if (state.cancellations.isCancelled(parsed.data.attemptId)) return replyCancelled();
  state.openCalls.track(parsed.data.attemptId, call.signal);
  return serve(parsed.data);
}

/**
 * Refuses a call for an attempt that was cancelled.
 *
 * @returns the answer
 */
export function replyCancelled(): Reply {
  return replyError(410, 'the attempt was cancelled');
}
