import { connect, type Socket } from 'node:net';

import { waitFor } from '../../harness/wait-for.js';
import type { Address } from '../../src/domain/vm.js';

/** Responses received on one connection. */
export interface RawAnswer {
  /** Status of each response received. */
  readonly statuses: readonly number[];
  readonly text: string;
  readonly code: string | undefined;
  readonly run: string | undefined;
  readonly requestId: string | undefined;
}

/** A raw TCP connection to a daemon's caller listener, on which a test may write any bytes. */
export interface RawCaller {
  readonly write: (text: string) => void;
  readonly isConnected: () => boolean;
  /** Closes the connection after the pending writes. */
  readonly cut: () => void;
  /** Text received so far. */
  readonly received: () => string;
  /** Waits until the daemon has closed the connection or a complete response has arrived. */
  readonly readAnswer: () => Promise<RawAnswer>;
}

/** Time limit for a response, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;

/**
 * Connects to a daemon.
 *
 * @param address - address of its caller listener
 * @returns the connection
 */
export function connectRawCaller(address: Address): RawCaller {
  const socket: Socket = connect(address);
  let received = '';
  let ended = false;
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    received += text;
  });
  socket.on('close', () => {
    ended = true;
  });
  // Writes fail after the daemon has closed the connection early, which scenarios expect.
  socket.on('error', () => undefined);
  return {
    write: (text) => {
      socket.write(text);
    },
    isConnected: () => !socket.connecting,
    cut: () => socket.destroySoon(),
    received: () => received,
    readAnswer: async () => {
      await waitFor('a response', () => ended || isWhole(received), {
        timeoutMs: ANSWER_TIMEOUT_MS,
      });
      socket.destroy();
      return parseAnswer(received);
    },
  };
}

/**
 * Formats an HTTP/1.1 request.
 *
 * @param line - method and target, for example `GET /healthz`
 * @param headers - header lines besides `Host`
 * @param body - the body; `content-length` is added unless a header already frames the body
 * @returns the text of the request
 */
export function formatRequest(line: string, headers: readonly string[], body = ''): string {
  const framed = headers.some((header) => /^(?:content-length|transfer-encoding):/i.test(header));
  const length = framed ? [] : [`content-length: ${Buffer.byteLength(body)}`];
  const head = [`${line} HTTP/1.1`, 'host: daemon', ...headers, ...length];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

function isWhole(received: string): boolean {
  const [head = '', body] = received.split('\r\n\r\n', 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return body !== undefined && length !== undefined && Buffer.byteLength(body) >= Number(length);
}

function parseAnswer(text: string): RawAnswer {
  const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));
  const error = /\{"error":\{.*?\}\}/.exec(text)?.[0];
  const parsed = error === undefined ? undefined : (JSON.parse(error) as RefusalBody);
  const { code, run, requestId } = parsed?.error ?? {};
  return { statuses, text, code, run, requestId };
}

interface RefusalBody {
  readonly error: { readonly code?: string; readonly run?: string; readonly requestId?: string };
}
