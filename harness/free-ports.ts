import { createServer, type AddressInfo, type Server } from 'node:net';

/**
 * Finds free TCP ports. All are bound before any is released, so they differ.
 *
 * @param count - number of ports
 * @param host - IP number
 * @returns the ports
 */
export async function findFreePorts(count: number, host = '127.0.0.1'): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listen(host)));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function listen(host: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
