import { Service } from '../kernel/service.js';

/** Cancels holds at engines whose owner no longer runs; see docs/design.md, section 6.5. */
export abstract class HoldReaper extends Service {
  /**
   * Lists the engines whose holds this VM checks.
   *
   * @returns names of the engines
   */
  abstract observed(): readonly string[];
}

declare module '../kernel/service.js' {
  interface Services {
    holds: HoldReaper;
  }
}
