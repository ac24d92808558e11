import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Address } from '../src/domain/vm.js';
import { OperatorService } from '../src/gen/cuminspar/operator/v1/operator_pb.js';

/** Client of the operator listener of a daemon. */
export interface OperatorClient {
  readonly calls: Client<typeof OperatorService>;
  readonly close: () => void;
}

/**
 * Creates a client that authenticates with an operator token.
 *
 * @param address - the daemon's listener for operators
 * @param token - operator token
 * @returns a client
 */
export function createOperatorClient(address: Address, token: string): OperatorClient {
  const baseUrl = `http://${address.host}:${address.port}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    interceptors: [
      (next) => (request) => {
        request.header.set('authorization', `Bearer ${token}`);
        return next(request);
      },
    ],
  });
  return {
    calls: createClient(OperatorService, transport),
    close: () => sessionManager.abort(),
  };
}
