import { Service } from '../kernel/service.js';

/** Makes the engines be what the configuration asks for, by orders of the fleet's one commander. */
export abstract class Orders extends Service {
  /**
   * Counts orders that this VM, as the commander, has not seen acknowledged.
   *
   * @returns the number; undefined when this VM is not the commander
   */
  abstract pending(): number | undefined;
}

declare module '../kernel/service.js' {
  interface Services {
    orders: Orders;
  }
}
