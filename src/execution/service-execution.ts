import type { Refusal } from '../domain/refusal.js';
import type { ServiceAnswer, ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';

/** Runs requests to plain services; those that may not be repeated at most once. */
export abstract class ServiceExecution extends Service {
  /**
   * Runs a request.
   *
   * @param request - the request
   * @param route - the matched route
   * @param signal - aborts when the caller has gone
   * @returns the whole answer, or a refusal
   */
  abstract run(
    request: ServiceRequest,
    route: Route,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>>;

  /**
   * Counts requests in progress.
   *
   * @returns how many requests run
   */
  abstract active(): number;

  /**
   * Appends the outcomes that the log has not taken yet.
   *
   * @returns a promise that resolves when none is pending or the deadline has passed
   */
  abstract flush(): Promise<void>;
}

declare module '../kernel/service.js' {
  interface Services {
    'service-execution': ServiceExecution;
  }
}
