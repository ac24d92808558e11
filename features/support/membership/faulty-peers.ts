import { Code, ConnectError } from '@connectrpc/connect';

import type { Address } from '../../../src/domain/vm.js';
import type { ConnectPeers } from '../../../src/peers/connect-peers.js';
import { type PeerClient, type PeerHandlers, Peers } from '../../../src/peers/peers.js';
import type { FaultyClock } from './faulty-clock.js';

type Call = (...values: unknown[]) => unknown;

type StreamCall = (requests: AsyncIterable<unknown>, context: unknown) => AsyncIterable<unknown>;

/** Calls that are bidirectional streams. */
const STREAMS: ReadonlySet<string | symbol> = new Set(['heartbeats']);

/** Peer calls over real sockets that fail while the VM is disconnected and wait while its process is paused. */
export class FaultyPeers extends Peers {
  cut = false;

  /** Delay of the answers that this VM receives, in milliseconds of the accelerated clock. */
  answerDelayMs = 0;

  /** Streams that this VM has ever opened to others, and below those that are still open. */
  readonly opened = new Set<symbol>();

  readonly open = new Set<symbol>();

  private silent: ReadonlySet<symbol> = new Set();

  constructor(
    private readonly inner: ConnectPeers,
    private readonly clock: FaultyClock,
  ) {
    super();
  }

  override start(): Promise<void> {
    return this.inner.start();
  }

  override stop(): Promise<void> {
    return this.inner.stop();
  }

  override handle(handlers: PeerHandlers): void {
    this.inner.handle(this.guard(handlers));
  }

  override client(address: Address): PeerClient {
    const client = this.inner.client(address) as unknown as PeerHandlers;
    const handler: ProxyHandler<PeerHandlers> = {
      get: (target, name) => {
        const call = Reflect.get(target, name) as Call;
        if (STREAMS.has(name)) return this.guardOwnStream(call as StreamCall);
        const guarded = this.guardCall(call);
        return async (...values: unknown[]) => this.delayAnswer(await guarded(...values));
      },
    };
    return new Proxy(client, handler) as unknown as PeerClient;
  }

  override unreachable(address: Address): boolean {
    return this.cut || this.inner.unreachable(address);
  }

  /** Drops all answers on the streams that are open to others; new streams work. */
  silenceOpen(): void {
    this.silent = new Set(this.open);
  }

  private guard(handlers: PeerHandlers): PeerHandlers {
    const entries = Object.entries(handlers).map(([name, call]) => [
      name,
      STREAMS.has(name) ? this.guardStream(call as StreamCall) : this.guardCall(call as Call),
    ]);
    return Object.fromEntries(entries) as PeerHandlers;
  }

  private guardCall(call: Call): Call {
    return async (...values) => {
      await this.clock.waitUntilResumed();
      if (this.cut) throw new ConnectError('cut off', Code.Unavailable);
      const answer = await call(...values);
      await this.clock.waitUntilResumed();
      return answer;
    };
  }

  private guardStream(call: StreamCall): StreamCall {
    return (requests, context) => this.pass(call(this.pass(requests), context));
  }

  private guardOwnStream(call: StreamCall): StreamCall {
    return (requests, context) => this.passOwn(call(this.pass(requests), context));
  }

  private async *passOwn(source: AsyncIterable<unknown>): AsyncIterable<unknown> {
    const name = Symbol('stream');
    this.opened.add(name);
    this.open.add(name);
    try {
      for await (const message of this.pass(source)) {
        if (!this.silent.has(name)) yield await this.delayAnswer(message);
      }
    } finally {
      this.open.delete(name);
    }
  }

  private async *pass(source: AsyncIterable<unknown>): AsyncIterable<unknown> {
    for await (const message of source) {
      await this.clock.waitUntilResumed();
      if (this.cut) throw new ConnectError('cut off', Code.Unavailable);
      yield message;
    }
  }

  private async delayAnswer(answer: unknown): Promise<unknown> {
    if (this.answerDelayMs > 0) await this.clock.sleep(this.answerDelayMs);
    return answer;
  }
}
