import { once } from 'node:events';
import { createServer, type ServerHttp2Stream } from 'node:http2';
import { connect, type AddressInfo } from 'node:net';

/** Larger than any recorded connection, so that the replay is not held up by flow control. */
const WINDOW_BYTES = 2 ** 30;

/**
 * Decodes the requests of one recorded HTTP/2 connection. Header values are compressed on the wire,
 * so searching the bytes would miss them; Node's own server reads the recording instead.
 *
 * @param bytes - what the client sent, from the start of the connection
 * @returns headers and body of each request as text
 */
export async function decodeRequests(bytes: Buffer): Promise<string> {
  const texts: string[] = [];
  const server = createServer({ settings: { initialWindowSize: WINDOW_BYTES } });
  server.on('session', (session) => {
    session.setLocalWindowSize(WINDOW_BYTES);
    // A recording ends in the middle of whatever was under way.
    session.on('error', () => {});
  });
  server.on('stream', (stream: ServerHttp2Stream, headers) => {
    texts.push(JSON.stringify(headers));
    stream.on('data', (data: Buffer) => texts.push(data.toString('latin1')));
    stream.on('error', () => {});
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const isClosed = once(client, 'close').catch(() => undefined);
  client.on('error', () => {});
  client.resume();
  client.end(bytes);
  await isClosed;
  server.close();
  return texts.join('\n');
}
