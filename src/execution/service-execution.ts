import type { Refusal } from '../domain/refusal.js';
import type { ServiceAnswer, ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';

/** Runs requests to plain services. Requests that may not be repeated are run at most once. */
export abstract class ServiceExecution extends Service {
  /**
   * Runs a request.
   *
   * @param request - the request
   * @param route - the matched route
   * @param signal - aborts when the caller disconnects
   * @returns the complete answer, or a refusal
   */
  abstract run(
    request: ServiceRequest,
    route: Route,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, Refusal>>;

  /**
   * Counts requests in progress.
   *
   * @returns the number of requests
   */
  abstract active(): number;

  /**
   * Appends the records that the log has not accepted yet.
   *
   * @returns a promise that resolves when no record is pending or the deadline has passed
   */
  abstract flush(): Promise<void>;
}

declare module '../kernel/service.js' {
  interface Services {
    'service-execution': ServiceExecution;
  }
}
