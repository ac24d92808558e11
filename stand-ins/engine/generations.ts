import type { DecodeStream } from './decode-stream.js';
import type { Generation } from './generation.js';

/** Time for which an ended generation is kept, so that a broken stream can be resumed. */
const RETENTION_MS = 10_000;

interface Entry {
  readonly generation: Generation;
  readonly reservationId: string;
  stream: DecodeStream | undefined;
}

/** Generations by attempt, each with at most one stream that reads it. */
export class Generations {
  private readonly entries = new Map<string, Entry>();

  /**
   * Creates an empty registry.
   *
   * @returns a new registry
   */
  static create(): Generations {
    return new Generations();
  }

  /**
   * Finds the generation of an attempt.
   *
   * @param attemptId - the attempt
   * @param reservationId - the reservation under which it was started
   * @returns the generation, running or still retained; undefined for another reservation
   */
  find(attemptId: string, reservationId: string): Generation | undefined {
    const entry = this.entries.get(attemptId);
    return entry?.reservationId === reservationId ? entry.generation : undefined;
  }

  /**
   * Adds a generation.
   *
   * @param generation - the generation
   * @param reservationId - the reservation under which it was started
   */
  add(generation: Generation, reservationId: string): void {
    this.entries.set(generation.attemptId, { generation, reservationId, stream: undefined });
  }

  /**
   * Makes a stream the reader of a generation; the previous stream is disconnected.
   *
   * @param attemptId - the attempt
   * @param stream - the new stream
   */
  attachStream(attemptId: string, stream: DecodeStream): void {
    const entry = this.entries.get(attemptId);
    entry?.stream?.disconnect();
    if (entry) entry.stream = stream;
  }

  /**
   * Removes an ended generation after `RETENTION_MS`.
   *
   * @param attemptId - the attempt
   */
  scheduleRemoval(attemptId: string): void {
    setTimeout(() => this.entries.delete(attemptId), RETENTION_MS).unref();
  }

  /**
   * Stops the generation of an attempt and disconnects its stream without an end marker.
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
