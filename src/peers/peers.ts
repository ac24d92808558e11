import type { Client, ServiceImpl } from '@connectrpc/connect';

import type { Address } from '../domain/vm.js';
import type { PeerService } from '../gen/cuminspar/peer/v1/peer_pb.js';
import { Service } from '../kernel/service.js';

/** Handlers of the peer service that one module contributes. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Client of one peer. */
export type PeerClient = Client<typeof PeerService>;

/** Serves and makes the calls between daemons. */
export abstract class Peers extends Service {
  /**
   * Adds handlers; each call has one. Calls without a handler answer `unimplemented`.
   *
   * @param handlers - handlers by call
   */
  abstract handle(handlers: PeerHandlers): void;

  /**
   * Reaches a peer; connections are kept and replaced when they go silent.
   *
   * @param address - the peer's listener for peers
   * @returns a client
   */
  abstract client(address: Address): PeerClient;

  /**
   * Tells whether a peer is known not to answer.
   *
   * @param address - the peer's listener for peers
   * @returns true when the newest connection to it was lost or refused lately; false when nothing is
   * known
   */
  abstract unreachable(address: Address): boolean;
}

declare module '../kernel/service.js' {
  interface Services {
    peers: Peers;
  }
}
