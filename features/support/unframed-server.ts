import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Plain server whose answers have neither a length nor chunks and end with their connection. */
export class UnframedServer {
  private readonly sockets = new Set<Socket>();

  private readonly held: (() => void)[] = [];

  private constructor(
    private readonly server: Server,
    private readonly body: Buffer,
    private readonly atOnce: number,
  ) {}

  /**
   * Starts a server on a free port of the loopback interface.
   *
   * @param bodyBytes - size of the body of each answer
   * @param atOnce - number of requests that are held until all of them are answered at the same time
   * @returns the running server
   */
  static async create(bodyBytes: number, atOnce = 1): Promise<UnframedServer> {
    const listener = createServer();
    const server = new UnframedServer(listener, Buffer.alloc(bodyBytes, 'x'), atOnce);
    listener.on('connection', (socket) => server.accept(socket));
    await new Promise<void>((resolve) => {
      listener.listen(0, '127.0.0.1', resolve);
    });
    return server;
  }

  /** Directory entry that announces the server. */
  get entry() {
    const { port } = this.server.address() as AddressInfo;
    const place = { service: 'yard', address: `127.0.0.1:${port}`, zone: 'sando' };
    return { ...place, slots: 100, state: 'ready', born: 1 };
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      const id = /^attempt-id: (\S+)/im.exec(bytes.toString('latin1'))?.[1];
      if (id === undefined) return;
      this.held.push(() => {
        const lines = [`Attempt-Id: ${id}`, `Server-Seal: s.${id}`, 'Connection: close'];
        socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`);
        socket.end(this.body);
      });
      if (this.held.length < this.atOnce) return;
      this.held.splice(0).forEach((answer) => answer());
    });
  }
}
