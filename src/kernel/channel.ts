import { from, type Observable, type Stream, type Subscriber } from 'most';

/** Pushes values into a `most` stream; values pushed before the first subscription are buffered. */
export class Channel<Value> {
  private readonly subscribers = new Set<Subscriber<Value>>();

  private readonly buffered: Value[] = [];

  private ended = false;

  private failure: Error | undefined;

  private everSubscribed = false;

  /**
   * Creates an open channel.
   *
   * @returns a new channel
   */
  static create<Value>(): Channel<Value> {
    return new Channel<Value>();
  }

  /**
   * Sends a value to every subscriber; has no effect after the end of the stream.
   *
   * @param value - value to send
   */
  push(value: Value): void {
    if (this.ended) return;
    if (!this.everSubscribed) {
      this.buffered.push(value);
      return;
    }
    [...this.subscribers].forEach((subscriber) => subscriber.next(value));
  }

  /** Ends the stream; later calls have no effect. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    [...this.subscribers].forEach((subscriber) => subscriber.complete());
  }

  /**
   * Ends the stream with an error; later calls have no effect.
   *
   * @param error - cause, passed to the subscribers
   */
  fail(error: Error): void {
    if (this.ended) return;
    this.ended = true;
    this.failure = error;
    [...this.subscribers].forEach((subscriber) => subscriber.error(error));
  }

  /**
   * Returns the values as a stream; those pushed before the first subscription are buffered for it.
   *
   * @returns a stream of the pushed values
   */
  stream(): Stream<Value> {
    const observable = {
      subscribe: (subscriber: Subscriber<Value>) => this.subscribe(subscriber),
      [Symbol.for('observable')]: () => observable,
      '@@observable': () => observable,
    };
    const { observable: nativeSymbol } = Symbol as unknown as { observable?: symbol };
    if (nativeSymbol) Object.assign(observable, { [nativeSymbol]: () => observable });
    return from(observable as unknown as Observable<Value>);
  }

  private subscribe(subscriber: Subscriber<Value>): { unsubscribe: () => void } {
    this.subscribers.add(subscriber);
    this.everSubscribed = true;
    this.buffered.splice(0).forEach((value) => subscriber.next(value));
    if (this.failure) subscriber.error(this.failure);
    else if (this.ended) subscriber.complete();
    return { unsubscribe: () => this.subscribers.delete(subscriber) };
  }
}
