import type { Order } from './request-schema.js';

/** Orders that the engine has accepted, and the highest fencing number among them. */
export class Orders {
  readonly accepted: Order[] = [];

  private newestFencingNumber = 0;

  private constructor(private readonly checksFencing: boolean) {}

  /**
   * Creates an empty list.
   *
   * @param checksFencing - whether orders with an outdated fencing number are refused
   * @returns a new list
   */
  static create(checksFencing: boolean): Orders {
    return new Orders(checksFencing);
  }

  /**
   * Accepts or refuses an order.
   *
   * @param order - the order
   * @returns undefined when it was accepted, otherwise the highest accepted fencing number
   */
  accept(order: Order): number | undefined {
    if (this.checksFencing && order.fencingNumber < this.newestFencingNumber)
      return this.newestFencingNumber;
    this.newestFencingNumber = Math.max(this.newestFencingNumber, order.fencingNumber);
    this.accepted.push(order);
    return undefined;
  }
}
