import { Service } from '../kernel/service.js';

/** Brings the engines into the configured state by orders of the fleet's single commander. */
export abstract class Orders extends Service {
  /**
   * Counts the orders of this VM, as the commander, that have not been acknowledged.
   *
   * @returns the number of orders; undefined when this VM is not the commander
   */
  abstract pending(): number | undefined;
}

declare module '../kernel/service.js' {
  interface Services {
    orders: Orders;
  }
}
