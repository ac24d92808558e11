import type { DecodeStream } from './decode-stream.js';
import type { Generation } from './generation.js';

/** How long an ended generation can still be read, so that a broken stream can be resumed. */
const RETENTION_MS = 10_000;

interface Entry {
  readonly generation: Generation;
  readonly reservationId: string;
  stream: DecodeStream | undefined;
}

/** Generations by attempt, and the one stream that reads each of them. */
export class Generations {
  private readonly entries = new Map<string, Entry>();

  /**
   * Creates an empty list.
   *
   * @returns a new list
   */
  static create(): Generations {
    return new Generations();
  }

  /**
   * Finds the generation of an attempt.
   *
   * @param attemptId - the attempt
   * @param reservationId - the reservation that it was started with
   * @returns the generation, running or ended lately
   */
  find(attemptId: string, reservationId: string): Generation | undefined {
    const entry = this.entries.get(attemptId);
    return entry?.reservationId === reservationId ? entry.generation : undefined;
  }

  /**
   * Adds a generation.
   *
   * @param generation - the generation
   * @param reservationId - the reservation that it was started with
   */
  add(generation: Generation, reservationId: string): void {
    this.entries.set(generation.attemptId, { generation, reservationId, stream: undefined });
  }

  /**
   * Makes a stream the reader of an attempt; the stream before it is closed.
   *
   * @param attemptId - the attempt
   * @param stream - the new reader
   */
  attachStream(attemptId: string, stream: DecodeStream): void {
    const entry = this.entries.get(attemptId);
    entry?.stream?.disconnect();
    if (entry) entry.stream = stream;
  }

  /**
   * Keeps an ended generation readable for a while.
   *
   * @param attemptId - the attempt
   */
  scheduleRemoval(attemptId: string): void {
    setTimeout(() => this.entries.delete(attemptId), RETENTION_MS).unref();
  }

  /**
   * Stops the generation of an attempt and closes its stream without an end marker.
   *
   * @param attemptId - the attempt
   */
  stop(attemptId: string): void {
    const entry = this.entries.get(attemptId);
    entry?.generation.stop();
    entry?.stream?.disconnect();
    this.entries.delete(attemptId);
  }

  /** Stops all generations. */
  stopAll(): void {
    [...this.entries.keys()].forEach((attemptId) => this.stop(attemptId));
  }
}
