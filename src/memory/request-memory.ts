import type { IncomingMessage } from 'node:http';

import { ArrivingBody } from './arriving-body.js';
import { BodyReceiver, type BodyFailure, type BodyRules } from './body-receiver.js';
import type { BlockPool } from './block-pool.js';
import type { FragmentedBodies } from './fragmented-bodies.js';

/** Memory of a request beside its head and body, in bytes. */
const REQUEST_BYTES = 8192;

/** Memory of a header line beside its text, in bytes. */
export const LINE_BYTES = 160;

/** Copies of a head: as received, by name, and as sent to a server. */
const HEAD_COPIES = 3;

/** Connection to which the memory of its requests is counted. */
export interface ConnectionMemory {
  readonly pool: BlockPool;
  readonly fragments: FragmentedBodies;
  readonly nowMs: number;
  reserve(bytes: number): boolean;
  add(bytes: number): void;
  release(bytes: number): void;
  progress(): void;
  update(): void;
}

/** Memory that is held for one request, from its head until its response is closed. */
export class RequestMemory {
  /** `unread` when a part of the answer waits for its reader. */
  state: 'arriving' | 'running' | 'unread' = 'arriving';

  private bytes = 0;

  private unreadBytes = 0;

  private receiver: BodyReceiver | undefined;

  private constructor(
    private readonly connection: ConnectionMemory,
    private readonly request: IncomingMessage,
  ) {}

  /**
   * Reserves the memory of a head.
   *
   * @param connection - connection of the request
   * @param request - the request
   * @returns the memory, or undefined when there is no room
   */
  static create(connection: ConnectionMemory, request: IncomingMessage): RequestMemory | undefined {
    const memory = new RequestMemory(connection, request);
    const textBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    const lineBytes = (request.rawHeaders.length / 2) * LINE_BYTES;
    return memory.reserve(REQUEST_BYTES + HEAD_COPIES * textBytes + lineBytes) ? memory : undefined;
  }

  /**
   * Reserves memory until the response is closed.
   *
   * @param bytes - memory beyond what was reserved
   * @returns false when there is no room
   */
  reserve(bytes: number): boolean {
    if (!this.connection.reserve(bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  /**
   * Receives the body. One with a length is reserved before it is read, one in chunks as it arrives.
   *
   * @param rules - size and time limits
   * @returns the body, or why it is not complete
   */
  async receive(rules: BodyRules): Promise<Buffer | BodyFailure> {
    const length = Number(this.request.headers['content-length'] ?? 0);
    if (length > rules.maxBytes) return 'too large';
    const { connection, request } = this;
    const body = ArrivingBody.create(connection.pool);
    if (!this.reserve(body.needs(length))) return 'no memory';
    const reserve = (needed: number) => length > 0 || this.reserve(needed);
    this.receiver = BodyReceiver.create(request, body, rules, reserve, connection.fragments);
    const end = await this.receiver.ended;
    const bytes = end ?? body.join();
    body.discard(connection.nowMs);
    this.receiver = undefined;
    this.state = 'running';
    this.connection.update();
    return bytes;
  }

  /**
   * Sets how much of the answer waits for its reader.
   *
   * @param bytes - memory of the answer; 0 when the reader has taken it
   */
  setUnread(bytes: number): void {
    const change = bytes - this.unreadBytes;
    this.unreadBytes = bytes;
    this.state = bytes > 0 ? 'unread' : 'running';
    this.connection.update();
    if (change > 0) this.connection.add(change);
    else {
      this.connection.release(-change);
      this.connection.progress();
    }
  }

  /** Ends a body in arrival. */
  stop(): void {
    this.receiver?.end('no memory');
  }

  /** Gives back all memory of the request. */
  close(): void {
    this.connection.release(this.bytes + this.unreadBytes);
    this.bytes = 0;
    this.unreadBytes = 0;
  }
}
