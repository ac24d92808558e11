import { connect } from 'node:net';

import type { Address } from '../../src/domain/vm.js';
import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';

/** How an answer without a length ended at its caller. */
export type CallerEnd = 'whole' | 'truncated' | 'reset' | 'refused' | 'no answer';

/** What a caller got. */
export interface CallerAnswer {
  readonly end: CallerEnd;
  /** Bytes of head and body. */
  readonly bytes: number;
}

/** A caller's request. */
export interface CallerOptions {
  readonly address: Address;
  readonly id: string;
  /** Size of the whole body. */
  readonly bodyBytes: number;
  /** Rate at which the caller reads; as fast as possible by default. */
  readonly bytesPerSecond?: number;
  /** Resolves when the caller begins to read; at once by default. */
  readonly mayRead?: Promise<void>;
  /** Called when the first bytes of the answer have arrived. */
  readonly onAnswer?: () => void;
}

const HEAD_END = '\r\n\r\n';

/**
 * Sends an order to a router and reads an answer that has no length.
 *
 * @param options - the request, and how its answer is read
 * @returns the answer; one that is `truncated` looks complete and is not
 */
export function sendOrder(options: CallerOptions): Promise<CallerAnswer> {
  const { address, id, bodyBytes, bytesPerSecond = Infinity, mayRead, onAnswer } = options;
  return new Promise((resolve) => {
    const socket = connect(address.port, address.host);
    let head = '';
    let received = 0;
    const finish = (end: CallerEnd) => resolve({ end, bytes: received });
    socket.on('data', (chunk) => {
      if (received === 0) onAnswer?.();
      received += chunk.length;
      if (!head.includes(HEAD_END)) head += chunk.toString('latin1');
      if (bytesPerSecond === Infinity) return;
      socket.pause();
      setTimeout(() => socket.resume(), (1000 * chunk.length) / bytesPerSecond);
    });
    // Node reports a reset that follows data as an ordinary end; only the peer address is gone then.
    socket.on('end', () => {
      const headEnd = head.indexOf(HEAD_END);
      if (socket.remoteAddress === undefined) finish('reset');
      else if (headEnd < 0) finish('no answer');
      else if (/^content-length:/im.test(head.slice(0, headEnd))) finish('refused');
      else finish(received - headEnd - HEAD_END.length === bodyBytes ? 'whole' : 'truncated');
    });
    socket.on('error', () => finish(received === 0 ? 'no answer' : 'reset'));
    if (mayRead) {
      socket.pause();
      void mayRead.then(() => socket.resume());
    }
    const lines = [`Host: ${PLATFORM_HOST}`, `Attempt-Id: ${id}`, 'Deadline-Ms: 60000'];
    const key = `Authorization: Bearer ${PLATFORM_KEY}`;
    socket.write(`GET /order/a HTTP/1.1\r\n${[...lines, key].join('\r\n')}${HEAD_END}`);
  });
}
