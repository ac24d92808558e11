import { Service } from '../kernel/service.js';

/** Cancels holds at engines whose owner has gone; see docs/design.md, section 6.5. */
export abstract class HoldReaper extends Service {
  /**
   * Names the engines that this VM observes.
   *
   * @returns names of servers
   */
  abstract observed(): readonly string[];
}

declare module '../kernel/service.js' {
  interface Services {
    holds: HoldReaper;
  }
}
