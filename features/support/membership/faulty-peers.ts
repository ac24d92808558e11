import { Code, ConnectError } from '@connectrpc/connect';

import type { Address } from '../../../src/domain/vm.js';
import type { ConnectPeers } from '../../../src/peers/connect-peers.js';
import { type PeerClient, type PeerHandlers, Peers } from '../../../src/peers/peers.js';
import type { FaultyClock } from './faulty-clock.js';

type Call = (...values: unknown[]) => unknown;

/** Peer calls over real sockets that can be cut off or held back by a paused process. */
export class FaultyPeers extends Peers {
  cut = false;

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
      get: (target, name) => this.guardCall(Reflect.get(target, name) as Call),
    };
    return new Proxy(client, handler) as unknown as PeerClient;
  }

  override unreachable(address: Address): boolean {
    return this.cut || this.inner.unreachable(address);
  }

  private guard(handlers: PeerHandlers): PeerHandlers {
    const entries = Object.entries(handlers).map(([name, call]) => [
      name,
      this.guardCall(call as Call),
    ]);
    return Object.fromEntries(entries) as PeerHandlers;
  }

  private guardCall(call: Call): Call {
    return async (...values) => {
      await this.clock.gate();
      if (this.cut) throw new ConnectError('cut off', Code.Unavailable);
      const answer = await call(...values);
      await this.clock.gate();
      return answer;
    };
  }
}
