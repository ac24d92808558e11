import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '../kernel/clock.js';
import { PacedConnection, type ReadMemory } from './paced-connection.js';
import { ReadTurns } from './read-turns.js';

/** Interval between reports of waiting connections, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;

/** Told at most once a second that connections wait: how many, and how many reads had to since the last report. */
export type PacingListener = (waiting: number, waits: number) => void;

/** Keeps connections whose data takes much processor time from delaying the others of all its servers. */
export class ConnectionPacer {
  private readonly turns = ReadTurns.create((waiting) => this.report(waiting));

  private waits = 0;

  private reportedMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly onPace: PacingListener,
  ) {}

  /**
   * Creates a pacer that several servers can share.
   *
   * @param clock - monotonic time
   * @param onPace - told when connections wait
   * @returns a new pacer
   */
  static create(clock: Clock, onPace: PacingListener = () => {}): ConnectionPacer {
    return new ConnectionPacer(clock, onPace);
  }

  /** Number of connections that wait to be read. */
  get waiting(): number {
    return this.turns.size;
  }

  /**
   * Paces all connections of a server.
   *
   * @param server - a server without connections; its listeners of `connection` that listen for data come first
   */
  attach(server: Server): void {
    const memory: ReadMemory = { add: () => {}, release: () => {} };
    server.on('connection', (socket: Socket) => this.pace(socket, memory));
  }

  /**
   * Paces one connection.
   *
   * @param socket - the connection
   * @param memory - memory of the connection
   */
  pace(socket: Socket, memory: ReadMemory): void {
    PacedConnection.create(socket, this.turns, memory, this.clock);
  }

  private report(waiting: number): void {
    this.waits += 1;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.reportedMs < REPORT_INTERVAL_MS) return;
    this.reportedMs = nowMs;
    this.onPace(waiting, this.waits);
    this.waits = 0;
  }
}
