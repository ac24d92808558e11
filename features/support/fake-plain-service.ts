import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { PlainServer } from '../../src/domain/backend-server.js';

const UNFRAMED_HEAD = 'HTTP/1.1 201 Created\r\nX-Draining: 1\r\n\r\n';

/** Resets at once arrive before a client in the same process has read the data in front of them. */
function resetUnframed(socket: Socket, delayMs = 0): void {
  const reset = () => {
    socket.resetAndDestroy();
    socket.destroy();
  };
  socket.write(`${UNFRAMED_HEAD}do`);
  if (delayMs === 0) reset();
  else setTimeout(reset, delayMs);
}

/** A plain service that shows the same fault in each of its responses. */
export class FakePlainService {
  readonly requests: IncomingMessage[] = [];

  private constructor(
    private readonly fault: string,
    private readonly server: Server,
    private readonly port: number,
  ) {}

  static async create(fault: string): Promise<FakePlainService> {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const service = new FakePlainService(fault, server, (server.address() as AddressInfo).port);
    server.on('request', (request, response) => service.answer(request, response));
    if (fault === 'reset-idle') server.on('connection', (socket) => socket.destroy());
    if (fault === 'refused') await service.stop();
    return service;
  }

  describe(): PlainServer {
    return {
      kind: 'service',
      name: 'yard1',
      address: { host: '127.0.0.1', port: this.port },
      availabilityZone: 'a',
      draining: false,
      pool: 'yard',
    };
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    this.requests.push(request);
    request.resume();
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') response.destroy();
    else if (this.fault === 'unframed-reset') resetUnframed(request.socket);
    else if (this.fault === 'unframed-reset-later') resetUnframed(request.socket, 50);
    else if (this.fault === 'unframed') request.socket.end(`${UNFRAMED_HEAD}done`);
    else if (this.fault === 'headers-only') response.flushHeaders();
    else if (this.fault === 'half-body') {
      response.writeHead(200, { 'content-length': '10' }).write('do');
      setTimeout(() => response.destroy(), 10);
    } else if (this.fault === 'trickle') {
      const timer = setInterval(() => response.write('.'), 20);
      response.on('close', () => clearInterval(timer));
    } else if (this.fault === 'too-large') response.end(Buffer.alloc(1_048_577));
    else response.writeHead(201, { 'x-draining': '1' }).end('done');
  }
}
