import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '../kernel/clock.js';
import type { BlockPool } from './block-pool.js';
import type { FragmentedBodies } from './fragmented-bodies.js';
import type { Holding, MemoryBudget } from './memory-budget.js';
import { LINE_BYTES, RequestMemory, type ConnectionMemory } from './request-memory.js';

/** Memory of a connection beside its requests, in bytes. */
const CONNECTION_BYTES = 8192;

const LINE_FEED = 10;

const HEAD_END = '\r\n\r\n';

/** What all connections share. */
export interface SharedMemory {
  readonly budget: MemoryBudget;
  readonly pool: BlockPool;
  readonly fragments: FragmentedBodies;
  readonly clock: Clock;
  /** Closes a connection that there is no room for. */
  readonly refuse: (socket: Socket, reason: 'memory') => void;
}

/** Memory of one connection. */
export class GuardedConnection implements ConnectionMemory {
  private holding!: Holding;

  /** Memory counted for a head in arrival, in bytes. */
  private headBytes = 0;

  private readonly requests = new Set<RequestMemory>();

  /** The last request whose head is complete, until it is answered: a head can take much memory. */
  private latest: IncomingMessage | undefined;

  private constructor(
    private readonly socket: Socket,
    readonly budget: MemoryBudget,
    readonly pool: BlockPool,
    readonly fragments: FragmentedBodies,
    private readonly clock: Clock,
    private readonly refuse: SharedMemory['refuse'],
  ) {}

  /**
   * Accounts a connection until it is closed.
   *
   * @param socket - a connection that has received nothing
   * @param shared - what all connections share
   * @returns the connection, or undefined when there is no room for it
   */
  static create(
    socket: Socket,
    { budget, pool, fragments, clock, refuse }: SharedMemory,
  ): GuardedConnection | undefined {
    const connection = new GuardedConnection(socket, budget, pool, fragments, clock, refuse);
    const reclaim = () => connection.reclaim();
    const holding = budget.open(CONNECTION_BYTES, reclaim, clock.monotonicMs());
    if (!holding) return undefined;
    connection.holding = holding;
    // Before the parser, which turns a line of a few bytes into objects that are much larger.
    socket.prependListener('data', (chunk: Buffer) => connection.receive(chunk));
    socket.once('close', () => budget.close(holding));
    return connection;
  }

  /** Monotonic time, in milliseconds. */
  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  /**
   * Accounts a request until its response is closed.
   *
   * @param request - a request whose head has just been received
   * @param response - its response
   * @returns the memory of the request, or undefined when there is no room for it
   */
  begin(request: IncomingMessage, response: ServerResponse): RequestMemory | undefined {
    this.release(this.headBytes);
    this.headBytes = 0;
    this.latest = request;
    const memory = RequestMemory.create(this, request);
    if (!memory) return undefined;
    this.requests.add(memory);
    this.update();
    response.once('close', () => {
      this.requests.delete(memory);
      memory.close();
      this.update();
      if (this.latest === request && request.complete) this.latest = undefined;
    });
    return memory;
  }

  /** Reserves memory, in bytes; returns false when there is no room. */
  reserve(bytes: number): boolean {
    return this.budget.reserve(this.holding, bytes, this.nowMs);
  }

  /** Counts memory that is already in use, in bytes. */
  add(bytes: number): void {
    this.budget.add(this.holding, bytes, this.nowMs);
  }

  /** Gives memory back, in bytes. */
  release(bytes: number): void {
    this.budget.release(this.holding, bytes);
  }

  /** Records that the other side has sent or taken something. */
  progress(): void {
    this.budget.progress(this.holding, this.nowMs);
  }

  /** Allows to close the connection unless a server may be running one of its requests. */
  update(): void {
    const states = [...this.requests].map(({ state }) => state);
    this.budget.setReclaimable(
      this.holding,
      states.includes('unread') || !states.includes('running'),
    );
  }

  private receive(chunk: Buffer): void {
    this.progress();
    if (this.latest && !this.latest.complete) return;
    const bytes = chunk.length + countHeadLines(chunk) * LINE_BYTES;
    this.headBytes += bytes;
    if (this.reserve(bytes)) return;
    this.headBytes = 0;
    this.refuse(this.socket, 'memory');
  }

  private reclaim(): void {
    const arriving = [...this.requests].filter(({ state }) => state === 'arriving');
    if (arriving.length > 0 && arriving.length === this.requests.size) {
      arriving.forEach((memory) => memory.stop());
    } else if (this.requests.size > 0) this.socket.resetAndDestroy();
    else this.socket.destroy();
  }
}

function countHeadLines(chunk: Buffer): number {
  const headEnd = chunk.indexOf(HEAD_END);
  const end = headEnd < 0 ? chunk.length : headEnd;
  let count = 0;
  for (let at = chunk.indexOf(LINE_FEED); at >= 0 && at < end; count += 1)
    at = chunk.indexOf(LINE_FEED, at + 1);
  return count;
}
