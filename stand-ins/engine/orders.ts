import type { Order } from './request-schema.js';

/** Orders that the engine has accepted, and the newest fencing number. */
export class Orders {
  readonly accepted: Order[] = [];

  private newestFencingNumber = 0;

  private constructor(private readonly checksFencing: boolean) {}

  /**
   * Creates a list without orders.
   *
   * @param checksFencing - whether orders with an old number are refused
   * @returns a new list
   */
  static create(checksFencing: boolean): Orders {
    return new Orders(checksFencing);
  }

  /**
   * Accepts or refuses an order.
   *
   * @param order - the order
   * @returns undefined when it was accepted, otherwise the newest fencing number
   */
  accept(order: Order): number | undefined {
    if (this.checksFencing && order.fencingNumber < this.newestFencingNumber)
      return this.newestFencingNumber;
    this.newestFencingNumber = Math.max(this.newestFencingNumber, order.fencingNumber);
    this.accepted.push(order);
    return undefined;
  }
}
