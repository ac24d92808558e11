import { Service } from '../kernel/service.js';

/** Serves callers over HTTP. */
export abstract class CallerListener extends Service {
  /**
   * Starts draining: this VM reports that it is not ready, stops listing itself in
   * `/v1/entry-addresses` and closes connections after their next response.
   */
  abstract drain(): void;

  /**
   * Counts requests in progress.
   *
   * @returns the number of requests whose response has not been closed
   */
  abstract active(): number;

  /**
   * Tells why this VM is not ready to serve requests.
   *
   * @returns the reason, or undefined when it is ready
   */
  abstract unreadyReason(): string | undefined;
}

declare module '../kernel/service.js' {
  interface Services {
    callers: CallerListener;
  }
}
