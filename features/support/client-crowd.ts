import { connect, type Socket } from 'node:net';

import type { Address } from '../../src/domain/vm.js';
import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';

/** What the clients of a crowd send; all but the readers stop just short of the end of their requests. */
export type CrowdKind =
  | 'short header lines'
  | 'odd header lines'
  | 'odd header lines before a body'
  | 'whole bodies'
  | 'bodies in pieces'
  | 'large chunks'
  | 'chunks of one byte'
  | 'slow readers'
  | 'pipelined slow readers';

/** Size of a client's body or, for header lines, of its head, in bytes. */
export interface CrowdSize {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** Not that of the listeners, whose free ports a connection from it could take. */
const LOCAL_ADDRESS = '127.0.0.9';

const PIECES = 39;

const PIECE_DELAY_MS = 10;

const LARGE_CHUNK_BYTES = 65_536;

const PIPELINED = 200;

const ODD_VALUES = ['\x80\xff', '', '\t', '"', ';;', '%00', '\u00e9', ' , '];

/** Clients that hold connections open until they are closed. */
export class ClientCrowd {
  private readonly sockets: Socket[] = [];

  private constructor(private readonly address: Address) {}

  /**
   * Creates a crowd without clients.
   *
   * @param address - listener that the clients connect to
   * @returns a crowd
   */
  static create(address: Address): ClientCrowd {
    return new ClientCrowd(address);
  }

  /**
   * Connects clients and waits until each has sent everything or lost its connection.
   *
   * @param count - number of clients
   * @param kind - what they send
   * @param path - path of their requests
   * @param size - sizes of their requests
   */
  async send(count: number, kind: CrowdKind, path: string, size: CrowdSize): Promise<void> {
    const pieces = buildPieces(kind, path, size);
    const clients = Array.from({ length: count }, () => this.sendOne(pieces, kind));
    await Promise.all(clients);
  }

  /** Number of connections that the listener has not closed. */
  get open(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  /** Closes all connections. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async sendOne(pieces: readonly Buffer[], kind: CrowdKind): Promise<void> {
    const socket = connect({ ...this.address, localAddress: LOCAL_ADDRESS });
    this.sockets.push(socket);
    socket.on('error', () => {});
    // A client that reads nothing does not see the end of its connection, but its writes fail.
    if (kind.endsWith('slow readers')) socket.pause();
    else socket.resume();
    for (const piece of pieces) {
      if (socket.destroyed) return;
      await write(socket, piece);
      if (pieces.length > 1) await delay(PIECE_DELAY_MS);
    }
  }
}

function buildPieces(kind: CrowdKind, path: string, { headBytes, bodyBytes }: CrowdSize): Buffer[] {
  const head = [
    `POST ${path} HTTP/1.1`,
    `Host: ${PLATFORM_HOST}`,
    'Attempt-Id: crowd',
    'Deadline-Ms: 60000',
    `Authorization: Bearer ${PLATFORM_KEY}`,
  ];
  const toBytes = (lines: readonly string[]) => Buffer.from(lines.join('\r\n'), 'latin1');
  const withLength = [...head, `Content-Length: ${bodyBytes}`, '', ''];
  const chunked = [...head, 'Transfer-Encoding: chunked', '', ''];
  const body = Buffer.alloc(bodyBytes - 1, 'x');
  switch (kind) {
    case 'short header lines':
      return [toBytes(fillHead(head, headBytes, () => 'a:'))];
    case 'odd header lines':
      return [toBytes(fillHead(head, headBytes, oddLine))];
    case 'odd header lines before a body': {
      const lines = [...head, `Content-Length: ${bodyBytes}`];
      return [toBytes([...fillHead(lines, headBytes, oddLine), '', 'x'])];
    }
    case 'whole bodies':
      return [Buffer.concat([toBytes(withLength), body])];
    case 'bodies in pieces': {
      const length = Math.ceil(body.length / PIECES);
      const parts = Array.from({ length: PIECES }, (_, index) =>
        body.subarray(index * length, (index + 1) * length),
      );
      return [toBytes(withLength), ...parts];
    }
    case 'large chunks':
      return [Buffer.concat([toBytes(chunked), toChunks(body, LARGE_CHUNK_BYTES)])];
    case 'chunks of one byte':
      return [Buffer.concat([toBytes(chunked), toChunks(body, 1)])];
    case 'slow readers':
      return [toBytes([...head, 'Content-Length: 0', '', ''])];
    case 'pipelined slow readers': {
      const request = toBytes([`GET ${path} HTTP/1.1`, `Host: ${PLATFORM_HOST}`, '', '']);
      return [Buffer.concat(Array.from({ length: PIPELINED }, () => request))];
    }
    default:
      throw new Error(`unknown kind of crowd: ${String(kind)}`);
  }
}

/** Adds lines up to a size; the empty line at the end of the head is missing. */
function fillHead(
  head: readonly string[],
  headBytes: number,
  nextLine: (index: number) => string,
): string[] {
  const lines = [...head];
  let bytes = lines.join('\r\n').length + 2;
  for (let index = 0; ; index += 1) {
    const line = nextLine(index);
    bytes += line.length + 2;
    if (bytes > headBytes - 2) return [...lines, ''];
    lines.push(line);
  }
}

function oddLine(index: number): string {
  return `${index.toString(36)}~:${ODD_VALUES[index % ODD_VALUES.length]}`;
}

function toChunks(body: Buffer, chunkBytes: number): Buffer {
  const size = `${chunkBytes.toString(16)}\r\n`;
  const chunk = Buffer.from(`${size}${'x'.repeat(chunkBytes)}\r\n`);
  const count = Math.floor(body.length / chunkBytes);
  return Buffer.alloc(chunk.length * count, chunk);
}

function write(socket: Socket, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      socket.off('close', done);
      resolve();
    };
    socket.once('close', done);
    socket.write(bytes, done);
  });
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
