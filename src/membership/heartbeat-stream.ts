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

/** What a member says of itself, beside its name. */
export type HeartbeatState = Pick<
  HeartbeatRequest,
  'epoch' | 'configurationOffset' | 'withdrawnDigest' | 'draining'
>;

/** What a witness answers. */
export type HeartbeatAnswer = Pick<
  HeartbeatResponse,
  'renewed' | 'incarnation' | keyof HeartbeatState
>;

type AnswerCallback = (answer: HeartbeatAnswer | undefined) => void;

/**
 * The member's end of a stream of heartbeats to one witness. At most one heartbeat is without an
 * answer at a time, which bounds the memory of the stream.
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
   * @param client - reaches the witness
   * @param self - incarnation that all heartbeats of the stream name
   * @returns a stream that is ready at once; its heartbeats wait for the connection
   */
  static open(client: PeerClient, self: Incarnation): HeartbeatStream {
    const stream = new HeartbeatStream(self);
    void stream.read(client);
    return stream;
  }

  /**
   * Tells whether the stream takes a heartbeat.
   *
   * @returns false after its end, and while a heartbeat has no answer
   */
  isReady(): boolean {
    return !this.stopping.signal.aborted && !this.pending;
  }

  /**
   * Sends a heartbeat; the stream must be ready.
   *
   * @param state - what the heartbeat says
   * @returns the answer to this heartbeat, or undefined when the stream ends without it
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
    // A stream that fails ends the exchange in any case.
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
      // The next round opens another stream.
    }
    this.close();
  }

  private receive(response: HeartbeatResponse): void {
    if (this.stopping.signal.aborted) return;
    if (!response.unchanged) this.lastReceived = response;
    // An answer renews the lease from the send time of its own heartbeat only.
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
 * Answers the heartbeats of one stream in their order.
 *
 * @param requests - the heartbeats
 * @param answer - decides on one heartbeat, which is completed by what the stream has said before
 * @returns one answer for each
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
