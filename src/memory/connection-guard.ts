import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';

import { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import { ConnectionPacer, type PacingListener } from '../pacing/connection-pacer.js';
import { BlockPool } from './block-pool.js';
import { FragmentedBodies } from './fragmented-bodies.js';
import { GuardedConnection } from './guarded-connection.js';
import { MemoryBudget, type ReclaimListener, type ReclaimReason } from './memory-budget.js';
import type { RequestMemory } from './request-memory.js';

/** Part of a machine's memory that may be held for connections. */
const MEMORY_PART = 0.25;

/** Part of the heap limit that may be held for connections. */
const HEAP_PART = 0.35;

/** Part of a machine's descriptors that connections to its listeners may use. */
const DESCRIPTOR_PART = 0.6;

const RETRY_AFTER_MS = 1000;

/** Why a connection was closed that there was no room for: `requests` when it had too many unanswered ones. */
export type RefusalReason = ReclaimReason | 'requests';

/** Told of the connections that a guard closes or lets wait. */
export interface GuardListeners {
  readonly onPace?: PacingListener;
  readonly onReclaim?: ReclaimListener;
  readonly onRefuse?: (reason: RefusalReason) => void;
}

/** Limits of a machine. */
export interface MachineLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/**
 * Computes what may be held for connections on a machine.
 *
 * @param machine - memory and descriptors of the machine
 * @param heapLimitBytes - limit of the heap of this process
 * @returns limits of a budget
 */
export function toMemoryLimits(
  { memoryBytes, descriptors }: MachineLimits,
  heapLimitBytes = getHeapStatistics().heap_size_limit,
) {
  return {
    bytes: Math.min(memoryBytes * MEMORY_PART, heapLimitBytes * HEAP_PART),
    connections: Math.max(1, Math.floor(descriptors * DESCRIPTOR_PART)),
  };
}

/**
 * Refusal of a request for which there is no memory; it has not been run.
 *
 * @returns a new refusal
 */
export function refuseForMemory(): Refusal {
  const options = { retryAfterMs: RETRY_AFTER_MS };
  return Refusal.create('overloaded', 'no memory is left to receive the request', options);
}

/** Accounts the connections of HTTP servers to one budget. */
export class ConnectionGuard {
  private readonly connections = new WeakMap<Socket, GuardedConnection>();

  private readonly pool = BlockPool.create();

  private readonly fragments = FragmentedBodies.create();

  private constructor(
    readonly budget: MemoryBudget,
    readonly pacer: ConnectionPacer,
    private readonly clock: Clock,
    private readonly onRefuse: (reason: RefusalReason) => void,
  ) {}

  /**
   * Creates a guard that several servers can share.
   *
   * @param machine - limits of the machine
   * @param clock - monotonic time
   * @param listeners - told of connections that are closed or wait
   * @returns a new guard
   */
  static create(
    machine: MachineLimits,
    clock: Clock,
    { onReclaim, onPace, onRefuse = () => {} }: GuardListeners = {},
  ): ConnectionGuard {
    const budget = MemoryBudget.create(toMemoryLimits(machine), onReclaim);
    return new ConnectionGuard(budget, ConnectionPacer.create(clock, onPace), clock, onRefuse);
  }

  /**
   * Accounts and paces all connections of a server, and closes those that there is no room for.
   *
   * @param server - a server that has no connections yet
   */
  attach(server: Server): void {
    // The lines of a head are paid for, so that their number needs no limit that cuts off legal ones.
    Object.assign(server, { maxHeadersCount: 0 });
    const { budget, pool, fragments, clock } = this;
    const refuse = (socket: Socket, reason: RefusalReason) => this.refuse(socket, reason);
    const shared = { budget, pool, fragments, clock, refuse };
    server.on('connection', (socket: Socket) => {
      const connection = GuardedConnection.create(socket, shared);
      if (!connection) {
        refuse(socket, budget.isFull ? 'connections' : 'memory');
        return;
      }
      this.connections.set(socket, connection);
      this.pacer.pace(socket, connection);
    });
  }

  /**
   * Closes a connection that there is no room for.
   *
   * @param socket - the connection
   * @param reason - what it would need
   */
  refuse(socket: Socket, reason: RefusalReason): void {
    this.onRefuse(reason);
    socket.destroy();
  }

  /**
   * Accounts a request until its response is closed.
   *
   * @param request - a request whose head has just been received
   * @param response - its response
   * @returns the memory of the request, or undefined when there is no room for it
   */
  begin(request: IncomingMessage, response: ServerResponse): RequestMemory | undefined {
    return this.connections.get(request.socket)?.begin(request, response);
  }
}
