import type { ServerResponse } from 'node:http';

import type { StreamFaultKind } from '../shared/faults.js';
import type { Generation, StreamEvent } from './generation.js';

/** Number of events that a stream sends before its fault occurs. */
const TOKENS_BEFORE_FAULT = 3;

/** Fault of a stream, and the attempts whose ids the faults `late` and `crossed` use. */
export interface StreamFault {
  readonly kind: StreamFaultKind | undefined;
  /** Used by `late`. */
  readonly endedAttemptId: string;
  /** Used by `crossed`. */
  readonly runningAttemptId: string;
}

/** Sends the events of a generation to one client, starting at a token index. */
export class DecodeStream {
  private nextIndex: number;

  private sentEvents = 0;

  private stopped = false;

  private unsubscribe: () => void = () => {};

  private resolveRun: () => void = () => {};

  private constructor(
    private readonly response: ServerResponse,
    private readonly generation: Generation,
    fromIndex: number,
    private readonly fault: StreamFault,
  ) {
    this.nextIndex = fromIndex;
  }

  /**
   * Creates a stream; `run` starts it.
   *
   * @param response - the answer, whose headers have been sent
   * @param generation - source of the events
   * @param fromIndex - index of the first token to send
   * @param fault - fault to inject, if any
   * @returns a new stream
   */
  static create(
    response: ServerResponse,
    generation: Generation,
    fromIndex: number,
    fault: StreamFault,
  ): DecodeStream {
    return new DecodeStream(response, generation, fromIndex, fault);
  }

  /**
   * Sends events until the end marker, a stopping fault or the close of the connection.
   *
   * @returns a promise that resolves when the stream has stopped
   */
  run(): Promise<void> {
    return new Promise((resolve) => {
      this.resolveRun = resolve;
      if (this.response.destroyed) {
        resolve();
        return;
      }
      this.unsubscribe = this.generation.subscribe(() => this.flush());
      this.response.on('drain', () => this.flush());
      this.response.once('close', () => this.stop());
      this.flush();
    });
  }

  /** Closes the connection without the end marker. */
  disconnect(): void {
    // destroy() may reset the connection, and the peer would lose tokens that were already written.
    this.response.socket?.destroySoon();
    this.stop();
  }

  private flush(): void {
    while (!this.stopped && !this.response.writableNeedDrain) {
      const event = this.generation.eventAt(this.nextIndex);
      if (!event) return;
      if (!this.applyFault(event)) this.send(event);
      this.nextIndex += 1;
    }
  }

  /** Injects a fault before an event; returns true when the event itself must not be sent. */
  private applyFault(event: StreamEvent): boolean {
    const { kind, endedAttemptId, runningAttemptId } = this.fault;
    const isEnd = 'end' in event;
    const isDue =
      this.sentEvents === TOKENS_BEFORE_FAULT || (isEnd && this.sentEvents < TOKENS_BEFORE_FAULT);
    if (!kind || !isDue) return false;
    this.sentEvents += 1;
    if (kind === 'late') this.write({ ...event, attemptId: endedAttemptId });
    if (kind === 'crossed') this.write({ ...event, attemptId: runningAttemptId });
    if (kind === 'duplicate' && !isEnd) this.write(event);
    if (kind === 'cut') this.disconnect();
    if (kind === 'stall') this.stop();
    return kind === 'cut' || kind === 'stall' || (kind === 'gap' && !isEnd);
  }

  private send(event: StreamEvent): void {
    this.write(event);
    this.sentEvents += 1;
    if (!('end' in event)) return;
    this.stop();
    this.response.end();
  }

  private write(event: StreamEvent): void {
    this.response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  private stop(): void {
    this.stopped = true;
    this.unsubscribe();
    this.resolveRun();
  }
}
