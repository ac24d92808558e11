import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Bytes that an endless server sends after a request: first once, then again and again. */
interface EndlessAnswer {
  readonly first: string;
  readonly again: string;
}

const FILLER = ' '.repeat(16_384);
const CHUNK = `4000\r\n${FILLER}\r\n`;
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';

const ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'a chunked body': { first: `${CHUNKED}\r\n`, again: CHUNK },
  'a body until the close': { first: 'HTTP/1.1 200 OK\r\n\r\n', again: FILLER },
  'more than its length': {
    first: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
    again: FILLER,
  },
  'a header line': { first: 'HTTP/1.1 200 OK\r\nX-Long: ', again: FILLER },
  'header lines': { first: 'HTTP/1.1 200 OK\r\n', again: `X-More: ${FILLER.slice(1000)}\r\n` },
  'interim answers': { first: '', again: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'a chunk extension': { first: `${CHUNKED}\r\n2;x=`, again: 'y'.repeat(16_384) },
  trailers: { first: `${CHUNKED}\r\n2\r\n{}\r\n0\r\n`, again: `X-More: ${FILLER}\r\n` },
};

/** Interval between the pieces of a slow server, in milliseconds. */
const SLOW_INTERVAL_MS = 1000;

/** A server whose answers never end, until the other side closes the connection. */
export class EndlessServer {
  private readonly sockets = new Set<Socket>();

  /** Connections on which a request has arrived. */
  private readonly busy = new Set<Socket>();

  private closedBytes = 0;

  private constructor(private readonly server: Server) {}

  /**
   * Starts a server.
   *
   * @param kind - part of the answer that has no end
   * @param pace - as fast as the connection takes it, or one byte a second
   * @param headers - header lines of answers that have a complete head
   * @returns the running server
   */
  static async create(
    kind: string,
    pace: 'fast' | 'slow',
    headers = (_request: string): string => '',
  ): Promise<EndlessServer> {
    const answer = ANSWERS[kind];
    if (!answer) throw new Error(`unknown kind of answer: ${kind}`);
    const server = createServer();
    const endless = new EndlessServer(server);
    server.on('connection', (socket) => {
      endless.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => {
        endless.sockets.delete(socket);
        endless.busy.delete(socket);
        endless.closedBytes += socket.bytesWritten;
      });
      socket.once('data', (request) => {
        endless.busy.add(socket);
        const lines = headers(request.toString('latin1'));
        socket.write(answer.first.replace('OK\r\n', `OK\r\n${lines}`));
        if (pace === 'fast') pump(socket, answer.again);
        else drip(socket, answer.again);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return endless;
  }

  /** Port of the listener. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Bytes that the other sides have taken, or that wait in the buffers of their connections. */
  get sentBytes(): number {
    return [...this.sockets].reduce((sum, socket) => sum + socket.bytesWritten, this.closedBytes);
  }

  /** Number of connections with a request that the other sides have not closed. */
  get openConnections(): number {
    return this.busy.size;
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }
}

function pump(socket: Socket, text: string): void {
  while (!socket.destroyed && socket.write(text));
  if (!socket.destroyed) socket.once('drain', () => setImmediate(() => pump(socket, text)));
}

function drip(socket: Socket, text: string): void {
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(text.charAt(sent % text.length));
    sent += 1;
  }, SLOW_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}
