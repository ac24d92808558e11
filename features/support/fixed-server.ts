import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { After } from '@cucumber/cucumber';

const servers = new Set<Server>();

/**
 * Starts an HTTP server that answers every request in the same way.
 *
 * @param answer - writes the answer
 * @returns the URL of the server, which closes at the end of the scenario
 */
export async function openFixedServer(answer: (response: ServerResponse) => void): Promise<string> {
  const server = createServer((_request, response) => answer(response));
  servers.add(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

After(() => {
  servers.forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
  servers.clear();
});
