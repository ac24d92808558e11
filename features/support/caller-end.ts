import { connect } from 'node:net';

import type { Address } from '../../src/domain/vm.js';
import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';

/** How an answer without a length ended at its caller. */
export type CallerEnd = 'whole' | 'truncated' | 'reset' | 'no answer';

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
 * @returns how the answer ended; `truncated` looks complete and is not
 */
export function sendOrder(options: CallerOptions): Promise<CallerEnd> {
  const { address, id, bodyBytes, bytesPerSecond = Infinity, mayRead, onAnswer } = options;
  return new Promise((resolve) => {
    const socket = connect(address.port, address.host);
    let head = '';
    let received = 0;
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
      if (socket.remoteAddress === undefined) resolve('reset');
      else if (headEnd < 0) resolve('no answer');
      else resolve(received - headEnd - HEAD_END.length === bodyBytes ? 'whole' : 'truncated');
    });
    socket.on('error', () => resolve(received === 0 ? 'no answer' : 'reset'));
    if (mayRead) {
      socket.pause();
      void mayRead.then(() => socket.resume());
    }
    const lines = [`Host: ${PLATFORM_HOST}`, `Attempt-Id: ${id}`, 'Deadline-Ms: 60000'];
    const key = `Authorization: Bearer ${PLATFORM_KEY}`;
    socket.write(`GET /order/a HTTP/1.1\r\n${[...lines, key].join('\r\n')}${HEAD_END}`);
  });
}
