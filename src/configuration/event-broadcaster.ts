import type { Stream } from 'most';

import { Channel } from '../kernel/channel.js';

/** Publishes events to all open streams; a stream gets no events from before it was opened. */
export class EventBroadcaster<Value> {
  private readonly channels = new Set<Channel<Value>>();

  /**
   * Creates a broadcaster without streams.
   *
   * @returns a new broadcaster
   */
  static create<Value>(): EventBroadcaster<Value> {
    return new EventBroadcaster<Value>();
  }

  /**
   * Opens a stream of all events from now on.
   *
   * @returns a stream that ends when the broadcaster ends
   */
  stream(): Stream<Value> {
    const channel = Channel.create<Value>();
    this.channels.add(channel);
    return channel.stream();
  }

  /**
   * Publishes an event to all open streams.
   *
   * @param value - the event
   */
  publish(value: Value): void {
    this.channels.forEach((channel) => channel.push(value));
  }

  /** Ends all streams. */
  end(): void {
    this.channels.forEach((channel) => channel.end());
    this.channels.clear();
  }
}
