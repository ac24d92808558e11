import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import { formatAddress, type Address } from '../domain/vm.js';
import { OperatorService } from '../gen/cuminspar/operator/v1/operator_pb.js';

/** Connections to operator listeners for the length of one command. */
export class MemberClients {
  private readonly sessions = new Map<string, Http2SessionManager>();

  private constructor(private readonly authorization: string) {}

  /**
   * Creates a set without connections.
   *
   * @param authorization - value of the Authorization header that every call carries
   * @returns a new set
   */
  static create(authorization: string): MemberClients {
    return new MemberClients(authorization);
  }

  /**
   * Reaches an operator listener.
   *
   * @param address - where it listens
   * @returns a client that shares one connection with other clients of this address
   */
  open(address: Address): Client<typeof OperatorService> {
    const baseUrl = `http://${formatAddress(address)}`;
    const sessionManager = this.sessions.get(baseUrl) ?? new Http2SessionManager(baseUrl);
    this.sessions.set(baseUrl, sessionManager);
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager,
      interceptors: [
        (next) => async (request) => {
          request.header.set('authorization', this.authorization);
          return next(request);
        },
      ],
    });
    return createClient(OperatorService, transport);
  }

  /** Closes the connections. */
  close(): void {
    this.sessions.forEach((session) => session.abort());
    this.sessions.clear();
  }
}
