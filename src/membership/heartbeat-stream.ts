import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { createWritableIterable } from '@connectrpc/connect/protocol';

import type { Incarnation } from '../domain/vm.js';
import {
  type HeartbeatRequest,
  HeartbeatRequestSchema,
  type HeartbeatResponse,
  type HeartbeatResponseSchema,
} from '../gen/cuminspar/peer/v1/peer_pb.js';
import type { PeerClient } from '../peers/peers.js';

/** State that a member reports in a heartbeat, apart from its name. */
export type HeartbeatState = Pick<
  HeartbeatRequest,
  'epoch' | 'configurationOffset' | 'withdrawnDigest' | 'draining'
>;

/** Answer of a witness to a heartbeat. */
export type HeartbeatAnswer = Pick<
  HeartbeatResponse,
  'renewed' | 'incarnation' | keyof HeartbeatState
>;

type AnswerCallback = (answer: HeartbeatAnswer | undefined) => void;

/**
 * Member's side of a stream of heartbeats to one witness. At most one heartbeat is unanswered at a
 * time, which bounds the memory of the stream.
 */
export class HeartbeatStream {
  private readonly requests =
    createWritableIterable<MessageInitShape<typeof HeartbeatRequestSchema>>();

  private readonly stopping = new AbortController();

  private sequence = 0;

  private lastSent: HeartbeatState | undefined;

  private lastReceived: HeartbeatAnswer | undefined;

  private pending: AnswerCallback | undefined;

  private constructor(private readonly self: Incarnation) {}

  /**
   * Opens a stream.
   *
   * @param client - client for the witness
   * @param self - sender of all heartbeats of the stream
   * @returns a stream that is ready at once; heartbeats are buffered until the connection is open
   */
  static open(client: PeerClient, self: Incarnation): HeartbeatStream {
    const stream = new HeartbeatStream(self);
    void stream.read(client);
    return stream;
  }

  /**
   * Checks whether a heartbeat can be sent.
   *
   * @returns false after the end of the stream, and while a heartbeat is unanswered
   */
  isReady(): boolean {
    return !this.stopping.signal.aborted && !this.pending;
  }

  /**
   * Sends a heartbeat; the stream must be ready.
   *
   * @param state - state to report
   * @returns the answer to this heartbeat, or undefined when the stream ends before it arrives
   */
  exchange(state: HeartbeatState): Promise<HeartbeatAnswer | undefined> {
    this.sequence += 1;
    const { sequence } = this;
    const unchanged = this.lastSent !== undefined && sameFields(this.lastSent, state);
    this.lastSent = state;
    const { vm, incarnation } = this.self;
    const heartbeat = { ...state, sender: { vm, incarnation }, sequence };
    const answer = new Promise<HeartbeatAnswer | undefined>((resolve) => {
      this.pending = resolve;
    });
    // When the stream fails, close() settles the exchange.
    this.requests.write(unchanged ? { sequence, unchanged } : heartbeat).catch(() => undefined);
    return answer;
  }

  /** Ends the stream. */
  close(): void {
    this.stopping.abort();
    this.requests.close();
    this.settle(undefined);
  }

  private async read(client: PeerClient): Promise<void> {
    const { signal } = this.stopping;
    try {
      const responses = client.heartbeats(this.requests, { signal, timeoutMs: 0 });
      for await (const response of responses) this.receive(response);
    } catch {
      // The next round opens a new stream.
    }
    this.close();
  }

  private receive(response: HeartbeatResponse): void {
    if (this.stopping.signal.aborted) return;
    if (!response.unchanged) this.lastReceived = response;
    // An answer may renew the lease only from the send time of the heartbeat that it answers.
    if (response.sequence !== this.sequence) return;
    this.settle(this.lastReceived && { ...this.lastReceived, renewed: response.renewed });
  }

  private settle(answer: HeartbeatAnswer | undefined): void {
    const { pending } = this;
    this.pending = undefined;
    pending?.(answer);
  }
}

/**
 * Answers the heartbeats of one stream in order.
 *
 * @param requests - the heartbeats
 * @param answer - answers one heartbeat; an unchanged heartbeat is passed with the fields of the last complete one
 * @returns one answer for each heartbeat
 */
export async function* answerHeartbeats(
  requests: AsyncIterable<HeartbeatRequest>,
  answer: (request: HeartbeatRequest) => HeartbeatAnswer | Promise<HeartbeatAnswer>,
): AsyncGenerator<MessageInitShape<typeof HeartbeatResponseSchema>> {
  let request = create(HeartbeatRequestSchema);
  let before: Omit<HeartbeatAnswer, 'renewed'> | undefined;
  for await (const heartbeat of requests) {
    if (!heartbeat.unchanged) request = heartbeat;
    const { sequence } = heartbeat;
    const { renewed, ...state } = await answer(request);
    const unchanged = before !== undefined && sameFields(before, state);
    yield unchanged ? { sequence, renewed, unchanged } : { ...state, sequence, renewed };
    before = state;
  }
}

function sameFields(left: object, right: object): boolean {
  return Object.entries(left).every(([name, value]) => Reflect.get(right, name) === value);
}
