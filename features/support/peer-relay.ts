import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';

/** A TCP relay whose connections can go silent. */
export class PeerRelay {
  private silent = false;

  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async create(target: number): Promise<PeerRelay> {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const relay = new PeerRelay(server, (server.address() as { port: number }).port);
    server.on('connection', (socket) => relay.join(socket, target));
    return relay;
  }

  /** Stops the traffic of open connections, and of new ones unless told otherwise. */
  silence(alsoNew: boolean): void {
    this.silent = alsoNew;
    this.sockets.forEach((socket) => socket.unpipe().pause());
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  private join(socket: Socket, target: number): void {
    this.track(socket);
    if (this.silent) return;
    const other = connect(target, '127.0.0.1');
    this.track(other);
    socket.pipe(other).pipe(socket);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }
}
