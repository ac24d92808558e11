import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

import { formatAddress, type Address } from '../domain/vm.js';
import { OperatorService } from '../gen/cuminspar/operator/v1/operator_pb.js';
import { PeerSession } from '../peers/peer-session.js';

/** Calls that may have changed something even when no response is received. */
const CHANGE_METHODS: ReadonlySet<string> = new Set(['change', 'withdrawKey']);

/** Connections to operator listeners, kept for the duration of one command. */
export class MemberClients {
  private readonly sessions = new Map<string, PeerSession>();

  private hasSentChange = false;

  private constructor(private readonly authorization: string) {}

  /**
   * Creates a set with no connections.
   *
   * @param authorization - value of the Authorization header that every call carries
   * @returns a new set
   */
  static create(authorization: string): MemberClients {
    return new MemberClients(authorization);
  }

  /**
   * Creates a client of an operator listener; it connects with its first call.
   *
   * @param address - address of the listener
   * @returns a client that shares one connection with other clients of this address
   */
  open(address: Address): Client<typeof OperatorService> {
    const baseUrl = `http://${formatAddress(address)}`;
    const sessionManager = this.sessions.get(baseUrl) ?? PeerSession.create(baseUrl);
    this.sessions.set(baseUrl, sessionManager);
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager,
      interceptors: [
        (next) => async (request) => {
          this.hasSentChange ||= CHANGE_METHODS.has(request.method.localName);
          request.header.set('authorization', this.authorization);
          return next(request);
        },
      ],
    });
    return createClient(OperatorService, transport);
  }

  /** True when a daemon may have accepted a change: one was sent and a connection has existed. */
  get mayHaveChanged(): boolean {
    return this.hasSentChange && [...this.sessions.values()].some(({ connected }) => connected);
  }

  /** Closes the connections. */
  close(): void {
    this.sessions.forEach((session) => session.close());
    this.sessions.clear();
  }
}
