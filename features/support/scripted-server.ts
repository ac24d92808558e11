import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Writes an answer to a request; `id` is the request's attempt id, `request` its bytes as Latin-1. */
type Script = (socket: Socket, id: string, request: string) => void;

/** Builds the complete bytes of an answer. */
export type AnswerBytes = (id: string) => string;

const SEAL = 'Server-Seal: s';
const LEAVING = 'Server-Leaving: 1';

function head(id: string, lines: readonly string[], status = '200 OK'): string {
  return [`HTTP/1.1 ${status}`, `Attempt-Id: ${id}`, ...lines, '', ''].join('\r\n');
}

function whole(id: string, lines: readonly string[] = [SEAL], status = '200 OK'): string {
  return `${head(id, ['Content-Length: 2', ...lines], status)}ok`;
}

const SCRIPTS: Readonly<Record<string, Script>> = {
  'a whole answer': (socket, id) => socket.write(whole(id)),
  "another request's id": (socket) => socket.write(whole('other')),
  'no id': (socket) =>
    socket.write('HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok'),
  'no signature': (socket, id) => socket.write(whole(id, [])),
  'an encoded body': (socket, id) => socket.write(whole(id, [SEAL, 'Content-Encoding: gzip'])),
  'not run': (socket, id) => socket.write(whole(id, ['Not-Run: 1'], '503 Service Unavailable')),
  'not run, without an id': (socket) =>
    socket.write('HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'),
  'not run, for another request': (socket) =>
    socket.write(whole('other', ['Not-Run: 1'], '503 Service Unavailable')),
  'another server': (socket, id) => socket.write(whole(id, [], '421 Misdirected Request')),
  'a closed connection': (socket) => socket.end(),
  'a reset': (socket) => socket.resetAndDestroy(),
  'bytes that are no HTTP': (socket) => socket.write('\u0000\u0001\u0002 what is this\r\n\r\n'),
  'a body that is cut': (socket, id) => socket.end(`${head(id, ['Content-Length: 9', SEAL])}ok`),
  'no length, then the end': (socket, id) => socket.end(`${head(id, [SEAL])}ok`),
  'no length, then a reset': (socket, id) => {
    socket.write(`${head(id, [SEAL])}ok`);
    setTimeout(() => socket.resetAndDestroy(), 50);
  },
  // Within one process, the reset always arrives before the client has read the data.
  'no length, with a reset at once': (socket, id) => {
    socket.write(`${head(id, [SEAL])}ok`);
    socket.resetAndDestroy();
    socket.destroy();
  },
  'its own failure': (socket, id) => socket.write(whole(id, [SEAL], '500 Internal Server Error')),
  'a whole answer, leaving': (socket, id) => socket.write(whole(id, [SEAL, LEAVING])),
  'its own failure, leaving': (socket, id) =>
    socket.write(whole(id, [SEAL, LEAVING], '500 Internal Server Error')),
  'not run, leaving': (socket, id) =>
    socket.write(whole(id, ['Not-Run: 1', LEAVING], '503 Service Unavailable')),
  'another server, leaving': (socket, id) =>
    socket.write(whole(id, [LEAVING], '421 Misdirected Request')),
  'a whole answer, not leaving': (socket, id) =>
    socket.write(whole(id, [SEAL, 'Server-Leaving: 0'])),
  'a whole answer, limit 2.5': (socket, id) => socket.write(whole(id, [SEAL, 'Server-Limit: 2.5'])),
  'a whole answer, limit 0': (socket, id) => socket.write(whole(id, [SEAL, 'Server-Limit: 0'])),
  'a whole answer, limit few': (socket, id) => socket.write(whole(id, [SEAL, 'Server-Limit: few'])),
  'its own failure, limit 2.5': (socket, id) =>
    socket.write(whole(id, [SEAL, 'Server-Limit: 2.5'], '500 Internal Server Error')),
  'not run, limit 2.5': (socket, id) =>
    socket.write(whole(id, ['Not-Run: 1', 'Server-Limit: 2.5'], '503 Service Unavailable')),
  'not run, quiet 1.5': (socket, id) =>
    socket.write(whole(id, ['Not-Run: 1', 'Retry-After: 1.5'], '503 Service Unavailable')),
  'not run, quiet soon': (socket, id) =>
    socket.write(whole(id, ['Not-Run: 1', 'Retry-After: soon'], '503 Service Unavailable')),
  'its own failure, quiet 1.5': (socket, id) =>
    socket.write(whole(id, [SEAL, 'Retry-After: 1.5'], '500 Internal Server Error')),
  'another server, limit 2.5': (socket, id) =>
    socket.write(whole(id, ['Server-Limit: 2.5'], '421 Misdirected Request')),
  'a second answer': (socket, id) => {
    socket.write(whole(id));
    setTimeout(() => socket.write(whole(id)), 20);
  },
};

/** Answers with one body in each framing that marks its end. */
export const FRAMED_ANSWERS: Readonly<Record<string, AnswerBytes>> = {
  'with a length': (id) => whole(id),
  'with a length of zero': (id) => head(id, ['Content-Length: 0', SEAL]),
  'with a length, on a connection that closes': (id) => whole(id, [SEAL, 'Connection: close']),
  'in chunks': (id) => `${head(id, ['Transfer-Encoding: chunked', SEAL])}2\r\nok\r\n0\r\n\r\n`,
  'after an interim answer': (id) => `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${whole(id)}`,
  'after an interim answer that closes': (id) =>
    `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${whole(id)}`,
  'without content': (id) => head(id, [SEAL], '204 No Content'),
};

/** The head of an answer whose body ends with its connection. */
export const UNFRAMED_HEADS: Readonly<Record<string, AnswerBytes>> = {
  'without a length': (id) => head(id, [SEAL]),
  'of HTTP/1.0': (id) => head(id, [SEAL]).replace('HTTP/1.1', 'HTTP/1.0'),
};

/** A server that answers each request with the raw bytes of a script. */
export class ScriptedServer {
  /** Port of the listener, also after it has been closed. */
  port = 0;

  private isDown = false;

  private constructor(private readonly server: Server) {}

  /**
   * Starts a server on a free port of the loopback interface.
   *
   * @param script - a script, or the name of one; with an unknown name, requests get no answer
   * @returns the server
   */
  static async create(script: string | Script): Promise<ScriptedServer> {
    const answer = typeof script === 'string' ? SCRIPTS[script] : script;
    const server = createServer();
    const scripted = new ScriptedServer(server);
    server.on('connection', (socket) => {
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        if (scripted.isDown) {
          socket.resetAndDestroy();
          return;
        }
        const request = bytes.toString('latin1');
        const id = /attempt-id: (\S+)/i.exec(request)?.[1] ?? '';
        answer?.(socket, id, request);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    scripted.port = (server.address() as AddressInfo).port;
    return scripted;
  }

  /** Stops accepting connections, and resets the open ones at their next request. */
  goDown(): void {
    this.isDown = true;
    this.server.close();
  }

  /** Closes the listener. */
  close(): void {
    this.server.close();
  }
}
