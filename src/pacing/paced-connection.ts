import type { Socket } from 'node:net';

import type { Clock } from '../kernel/clock.js';
import type { ReadTurns, StoppedReads } from './read-turns.js';

/** Processor time that a connection may take at once before it waits for its turns, in milliseconds. */
const BURST_MS = 2;

/** Part of the time that a connection may take in the long run before it waits for its turns. */
const SHARE = 0.05;

/** What a socket may still receive after it has been paused, in bytes. */
const SOCKET_BYTES = 65_536;

/** Size of the first part of what was received that is passed on, in bytes. */
const MIN_PART_BYTES = 2048;

const MAX_PART_BYTES = 65_536;

/** Processor time for a part below which the next one is larger, in milliseconds. */
const CHEAP_PART_MS = 0.25;

/** Processor time for a part above which the next one is small again, in milliseconds. */
const EXPENSIVE_PART_MS = 1;

type DataListener = (bytes: Buffer) => void;

/** Memory for what a socket has received and what may follow while its reads are stopped. */
export interface ReadMemory {
  /** Counts memory that is in use, in bytes. */
  add(bytes: number): void;

  /** Gives memory back, in bytes. */
  release(bytes: number): void;
}

/**
 * Reads of one connection. Passes on what was received in parts, and measures the processor time that
 * they take. A connection that has taken more than its share waits for its turn with each further part.
 */
export class PacedConnection implements StoppedReads {
  lastMs = 0;

  private readonly listeners: readonly DataListener[];

  private readonly pauseSocket: () => Socket;

  private readonly resumeSocket: () => Socket;

  private availableMs = BURST_MS;

  private refilledMs: number;

  private partBytes = MIN_PART_BYTES;

  /** What was received and not yet passed on. */
  private received: Buffer = Buffer.alloc(0);

  /** What the users of the socket asked for last. */
  private flowing = true;

  private waiting = false;

  /** True while the listeners get parts. */
  private passing = false;

  private heldBytes = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly turns: ReadTurns,
    private readonly memory: ReadMemory,
    private readonly clock: Clock,
  ) {
    this.refilledMs = clock.monotonicMs();
    this.listeners = socket.listeners('data') as DataListener[];
    this.pauseSocket = socket.pause.bind(socket);
    this.resumeSocket = socket.resume.bind(socket);
  }

  /**
   * Paces the reads of a connection until it is closed.
   *
   * @param socket - a connection with all its listeners for data, which has received nothing
   * @param turns - connections that wait to be read
   * @param memory - memory of the connection
   * @param clock - monotonic time
   * @returns the connection
   */
  static create(
    socket: Socket,
    turns: ReadTurns,
    memory: ReadMemory,
    clock: Clock,
  ): PacedConnection {
    const connection = new PacedConnection(socket, turns, memory, clock);
    // Node's HTTP server resumes a socket whenever a request is read, which must not end a wait.
    Object.assign(socket, {
      pause: () => connection.pause(),
      resume: () => connection.requestResume(),
    });
    socket.removeAllListeners('data');
    socket.on('data', (bytes: Buffer) => connection.receive(bytes));
    socket.once('close', () => connection.close());
    return connection;
  }

  resume(): void {
    this.waiting = false;
    this.memory.release(this.heldBytes);
    if (this.received.length > 0) this.passOn();
    else if (this.flowing) this.resumeSocket();
  }

  private pause(): Socket {
    this.flowing = false;
    return this.pauseSocket();
  }

  private requestResume(): Socket {
    this.flowing = true;
    if (this.waiting || this.passing) return this.socket;
    if (this.received.length === 0) return this.resumeSocket();
    this.wait();
    return this.socket;
  }

  private receive(bytes: Buffer): void {
    this.received = this.received.length > 0 ? Buffer.concat([this.received, bytes]) : bytes;
    this.passOn();
  }

  private close(): void {
    this.received = Buffer.alloc(0);
    this.turns.remove(this);
  }

  /** Passes parts on until nothing is left, the users of the socket pause it, or its share is used. */
  private passOn(): void {
    const startMs = this.clock.monotonicMs();
    let partMs = startMs;
    this.passing = true;
    while (this.received.length > 0 && this.flowing && !this.socket.destroyed) {
      const part = this.received.subarray(0, this.partBytes);
      this.received = this.received.subarray(part.length);
      this.listeners.forEach((listener) => listener.call(this.socket, part));
      const nowMs = this.clock.monotonicMs();
      this.choosePartBytes(nowMs - partMs);
      partMs = nowMs;
      if (this.available(nowMs) < nowMs - startMs) break;
    }
    this.passing = false;
    // After the continuations of the listeners, and before the next read.
    queueMicrotask(() => this.finish(startMs));
  }

  private finish(startMs: number): void {
    const nowMs = this.clock.monotonicMs();
    this.lastMs = nowMs - startMs;
    this.availableMs = this.available(nowMs) - this.lastMs;
    this.refilledMs = nowMs;
    if (this.socket.destroyed || !this.flowing || this.waiting) return;
    if (this.received.length > 0 || this.availableMs < 0) this.wait();
    // It is still paused after a turn.
    else if (this.socket.isPaused()) this.resumeSocket();
  }

  private wait(): void {
    this.heldBytes = this.received.length + SOCKET_BYTES;
    this.memory.add(this.heldBytes);
    if (this.socket.destroyed) return;
    this.waiting = true;
    this.pauseSocket();
    this.turns.add(this);
  }

  private available(nowMs: number): number {
    return Math.min(this.availableMs + (nowMs - this.refilledMs) * SHARE, BURST_MS);
  }

  private choosePartBytes(ms: number): void {
    if (ms > EXPENSIVE_PART_MS) this.partBytes = MIN_PART_BYTES;
    else if (ms < CHEAP_PART_MS) this.partBytes = Math.min(2 * this.partBytes, MAX_PART_BYTES);
  }
}
