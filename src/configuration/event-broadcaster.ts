import type { Stream } from 'most';

import { Channel } from '../kernel/channel.js';

/** Sends events to every stream opened so far; nothing is kept for streams opened later. */
export class EventBroadcaster<Value> {
  private readonly channels = new Set<Channel<Value>>();

  /**
   * Creates a source without streams.
   *
   * @returns a new source
   */
  static create<Value>(): EventBroadcaster<Value> {
    return new EventBroadcaster<Value>();
  }

  /**
   * Opens a stream of the events that follow.
   *
   * @returns a stream that ends with the source
   */
  stream(): Stream<Value> {
    const channel = Channel.create<Value>();
    this.channels.add(channel);
    return channel.stream();
  }

  /**
   * Sends an event.
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
