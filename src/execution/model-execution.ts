import type { Refusal } from '../domain/refusal.js';
import type { ModelAnswer, ModelRequest } from '../domain/request.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';

/** Runs model requests through prefill, transfer and decode. */
export abstract class ModelExecution extends Service {
  /**
   * Runs a request. Resolves when the first token is available, so that an earlier failure can be
   * answered with an HTTP status.
   *
   * @param request - the request
   * @param signal - aborts when the caller disconnects; all resources of the request are then released
   * @returns the answer in progress, or a refusal
   */
  abstract run(request: ModelRequest, signal: AbortSignal): Promise<Outcome<ModelAnswer, Refusal>>;

  /**
   * Selects the attempts that do not run on this VM.
   *
   * @param attemptIds - ids of attempts that belong to this incarnation
   * @returns the ids that are unknown
   */
  abstract unknownAttempts(attemptIds: readonly string[]): readonly string[];

  /**
   * Counts requests in progress.
   *
   * @returns the number of requests
   */
  abstract active(): number;
}

declare module '../kernel/service.js' {
  interface Services {
    'model-execution': ModelExecution;
  }
}
