import type { Refusal } from '../domain/refusal.js';
import type { ModelAnswer, ModelRequest } from '../domain/request.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';

/** Runs model requests through prefill, transfer and decode. */
export abstract class ModelExecution extends Service {
  /**
   * Runs a request. Resolves when the first token is there, so that a failure before it can be
   * answered with a status.
   *
   * @param request - the request
   * @param signal - aborts when the caller has gone; everything held is then released
   * @returns the answer in progress, or a refusal
   */
  abstract run(request: ModelRequest, signal: AbortSignal): Promise<Outcome<ModelAnswer, Refusal>>;

  /**
   * Selects the attempts that are not running here.
   *
   * @param attemptIds - attempts of this incarnation
   * @returns those that are unknown
   */
  abstract unknownAttempts(attemptIds: readonly string[]): readonly string[];

  /**
   * Counts requests in progress.
   *
   * @returns how many requests run
   */
  abstract active(): number;
}

declare module '../kernel/service.js' {
  interface Services {
    'model-execution': ModelExecution;
  }
}
