import type { Client, ServiceImpl } from '@connectrpc/connect';

import type { Address } from '../domain/vm.js';
import type { PeerService } from '../gen/cuminspar/peer/v1/peer_pb.js';
import { Service } from '../kernel/service.js';

/** Handlers that one module registers with the peer service. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Client of one peer. */
export type PeerClient = Client<typeof PeerService>;

/** Serves and makes the calls between the daemons of the fleet. */
export abstract class Peers extends Service {
  /**
   * Registers handlers, at most one per call. Calls without a handler fail with `unimplemented`.
   *
   * @param handlers - handlers by name of the call
   */
  abstract handle(handlers: PeerHandlers): void;

  /**
   * Returns the client of a peer. Its connection is reused, and replaced when it stops responding.
   *
   * @param address - the peer's listener for peers
   * @returns a client
   */
  abstract client(address: Address): PeerClient;

  /**
   * Returns whether a peer is known not to respond.
   *
   * @param address - the peer's listener for peers
   * @returns true when the last connection to it was lost or refused recently; false when nothing
   * is known about it
   */
  abstract unreachable(address: Address): boolean;
}

declare module '../kernel/service.js' {
  interface Services {
    peers: Peers;
  }
}
