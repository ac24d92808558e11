import type { IncomingMessage } from 'node:http';

import type { ArrivingBody } from './arriving-body.js';
import type { FragmentedBodies } from './fragmented-bodies.js';

/** Number of chunks up to which a body is not fragmented, however small they are. */
const MAX_SMALL_CHUNKS = 1024;

/** Mean size of the chunks of a fragmented body at most, in bytes. */
const FRAGMENT_BYTES = 32;

/** How a body that did not become complete ended. */
export type BodyFailure = 'too large' | 'stalled' | 'broken' | 'no memory';

/** Limits of one body. */
export interface BodyRules {
  readonly maxBytes: number;
  /** Maximum time between two chunks, in milliseconds. */
  readonly chunkMs: number;
}

/** Receives one body within limits. */
export class BodyReceiver {
  /** Resolves to undefined when the body is complete, else to the reason why it is not. */
  readonly ended: Promise<BodyFailure | undefined>;

  private resolve!: (failure: BodyFailure | undefined) => void;

  private readonly timer: NodeJS.Timeout;

  private chunks = 0;

  private isFragmented = false;

  private readonly onData = (chunk: Buffer) => this.receive(chunk);

  private readonly onEnd = () => this.end(undefined);

  private readonly onClose = () => this.end('broken');

  private constructor(
    private readonly request: IncomingMessage,
    private readonly body: ArrivingBody,
    private readonly rules: BodyRules,
    private readonly reserve: (bytes: number) => boolean,
    private readonly fragments: FragmentedBodies,
  ) {
    this.ended = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.timer = setTimeout(() => this.end('stalled'), rules.chunkMs);
    // Also after the end: an error without a listener would end the process.
    request.on('error', this.onClose);
    request.on('data', this.onData).on('end', this.onEnd).on('close', this.onClose);
  }

  /**
   * Begins to receive a body.
   *
   * @param request - request whose body has not been read
   * @param body - takes the body
   * @param rules - size and time limits
   * @param reserve - reserves memory in bytes, or returns false
   * @param fragments - bodies with very small chunks
   * @returns a receiver that reads
   */
  static create(
    request: IncomingMessage,
    body: ArrivingBody,
    rules: BodyRules,
    reserve: (bytes: number) => boolean,
    fragments: FragmentedBodies,
  ): BodyReceiver {
    return new BodyReceiver(request, body, rules, reserve, fragments);
  }

  /**
   * Ends the body; has no effect on one that has ended.
   *
   * @param failure - why it is not complete; undefined when it is
   */
  end(failure: BodyFailure | undefined): void {
    clearTimeout(this.timer);
    this.request.off('data', this.onData).off('end', this.onEnd).off('close', this.onClose);
    if (this.isFragmented) this.fragments.end();
    this.isFragmented = false;
    this.resolve(failure);
  }

  private receive(chunk: Buffer): void {
    const { body, rules } = this;
    this.chunks += 1;
    this.timer.refresh();
    const needed = body.needs(chunk.length);
    if (body.length + chunk.length > rules.maxBytes) this.end('too large');
    else if ((needed > 0 && !this.reserve(needed)) || !this.admitFragments()) this.end('no memory');
    else body.append(chunk);
  }

  private admitFragments(): boolean {
    const { chunks, body, isFragmented } = this;
    if (isFragmented || chunks <= MAX_SMALL_CHUNKS || body.length >= chunks * FRAGMENT_BYTES)
      return true;
    this.isFragmented = this.fragments.begin();
    return this.isFragmented;
  }
}
