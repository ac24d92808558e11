import { Service } from '../kernel/service.js';

/** Serves callers over HTTP. */
export abstract class CallerListener extends Service {
  /** Fails readiness, leaves the entry answer and closes idle connections. */
  abstract drain(): void;

  /**
   * Counts requests in progress.
   *
   * @returns how many requests have not been answered whole
   */
  abstract active(): number;

  /**
   * Tells whether this VM takes requests.
   *
   * @returns undefined when ready, else the reason
   */
  abstract unreadyReason(): string | undefined;
}

declare module '../kernel/service.js' {
  interface Services {
    callers: CallerListener;
  }
}
