import { once } from 'node:events';
import {
  connect,
  createServer,
  type IncomingHttpHeaders,
  type ClientHttp2Session,
  type ServerHttp2Session,
} from 'node:http2';
import {
  connect as connectTcp,
  createServer as createTcpServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type { Readable } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { promisify } from 'node:util';
import { constants, gunzip as gunzipAsync } from 'node:zlib';

import type { Direction } from '../../harness/tcp-relay.js';

/** Larger than any recorded connection, so that flow control never blocks the replay. */
const WINDOW_BYTES = 2 ** 30;

const SETTINGS = { initialWindowSize: WINDOW_BYTES };

const FRAME_HEADER_BYTES = 9;
const FRAME_TYPE_OFFSET = 3;
const PING_FRAME_TYPE = 6;

const gunzip = promisify(gunzipAsync);

/**
 * Decodes the calls of one recorded HTTP/2 connection. Header values and large bodies are
 * compressed on the wire, so a search of the raw bytes would miss them; instead the recording is
 * replayed to Node's own HTTP/2 server and client.
 *
 * @param bytes - bytes sent in each direction, from the start of the connection
 * @returns headers and body of each request and response, as text
 */
export async function decodeCalls(bytes: Readonly<Record<Direction, Buffer>>): Promise<string[]> {
  const requests = await decodeRequests(bytes['to-target']);
  return [...requests, ...(await decodeResponses(bytes['to-client'], requests.length))];
}

async function decodeRequests(bytes: Buffer): Promise<string[]> {
  const messages: Promise<string>[] = [];
  const server = createServer({ settings: SETTINGS });
  server.on('session', (session) => enlargeWindow(session));
  server.on('stream', (stream, headers) => messages.push(readMessage(stream, headers)));
  const client = connectTcp(await listen(server), '127.0.0.1');
  const isClosed = once(client, 'close').catch(() => undefined);
  client.on('error', () => {});
  client.resume();
  client.end(bytes);
  await isClosed;
  server.close();
  return Promise.all(messages);
}

/**
 * The client accepts responses only on open streams, so it first opens one per recorded request.
 */
async function decodeResponses(bytes: Buffer, requests: number): Promise<string[]> {
  const messages: Promise<string>[] = [];
  const server = createTcpServer();
  const port = await listen(server);
  const options = { settings: SETTINGS, peerMaxConcurrentStreams: requests + 1 };
  const client = connect(`http://127.0.0.1:${port}`, options);
  enlargeWindow(client);
  const [connected] = await Promise.all([once(server, 'connection'), once(client, 'connect')]);
  const [socket] = connected as [Socket];
  socket.on('error', () => {});
  socket.resume();
  const streams = Array.from({ length: requests }, () => client.request({ ':path': '/' }));
  streams.forEach((stream) => {
    stream.on('error', () => {});
    stream.on('response', (headers) => messages.push(readMessage(stream, headers)));
  });
  await Promise.all(streams.map((stream) => stream.pending && once(stream, 'ready')));
  await nextTurn();
  const isClosed = once(client, 'close').catch(() => undefined);
  socket.end(dropPings(bytes));
  await isClosed;
  server.close();
  return Promise.all(messages);
}

function enlargeWindow(session: ServerHttp2Session | ClientHttp2Session): void {
  session.on('connect', () => session.setLocalWindowSize(WINDOW_BYTES));
  // A recording may end in the middle of a frame or call, which is an error to the session.
  session.on('error', () => {});
}

async function listen(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/**
 * Removes ping frames, because Node closes a connection on an answer to a ping that it did not
 * send.
 */
function dropPings(bytes: Buffer): Buffer {
  const kept: Buffer[] = [];
  for (let at = 0; at + FRAME_HEADER_BYTES <= bytes.length;) {
    const end = at + FRAME_HEADER_BYTES + bytes.readUIntBE(at, FRAME_TYPE_OFFSET);
    if (bytes[at + FRAME_TYPE_OFFSET] !== PING_FRAME_TYPE) kept.push(bytes.subarray(at, end));
    at = end;
  }
  return Buffer.concat(kept);
}

async function readMessage(stream: Readable, headers: IncomingHttpHeaders): Promise<string> {
  const chunks: Buffer[] = [];
  stream.on('data', (data: Buffer) => chunks.push(data));
  stream.on('error', () => {});
  await new Promise((resolve) => {
    stream.once('close', resolve);
  });
  const body = Buffer.concat(chunks);
  const isCompressed = headers['content-encoding'] === 'gzip' && body.length > 0;
  const plain = isCompressed ? await gunzip(body, { finishFlush: constants.Z_SYNC_FLUSH }) : body;
  return `${JSON.stringify(headers)}\n${plain.toString('latin1')}`;
}
