import { request } from 'node:http';

import type { Address } from '../../src/domain/vm.js';
import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';
import { readAnswer } from '../../harness/read-answer.js';

/** How an answer ended at its caller; one that is `truncated` looks complete and is not. */
export type CallerEnd = 'whole' | 'truncated' | 'broken off' | 'refused' | 'no answer';

/** What a caller got. */
export interface CallerAnswer {
  readonly end: CallerEnd;
  readonly body: Buffer;
}

/** A caller's request. */
export interface CallerOptions {
  readonly address: Address;
  readonly id: string;
  /** Size of the whole body. */
  readonly bodyBytes: number;
  /** Path of the route. */
  readonly path?: string;
  /** Headers beside those of all requests. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Rate at which the caller reads; as fast as possible by default. */
  readonly bytesPerSecond?: number;
  /** Resolves when the caller begins to read; at once by default. */
  readonly mayRead?: Promise<void>;
  /** Called when the head of the answer has arrived. */
  readonly onAnswer?: () => void;
}

const NOTHING = Buffer.alloc(0);

/** Returns the pause after each chunk with which a reader keeps to a rate. */
function createPace(bytesPerSecond: number): (chunkBytes: number) => number {
  let startMs: number | undefined;
  let received = 0;
  return (chunkBytes) => {
    startMs ??= Date.now();
    received += chunkBytes;
    return startMs + (1000 * received) / bytesPerSecond - Date.now();
  };
}

/**
 * Sends a request to a router and reads the answer.
 *
 * @param options - the request, and how its answer is read
 * @returns the answer
 */
export function callRouter(options: CallerOptions): Promise<CallerAnswer> {
  const { address, id, bodyBytes, path = '/order/a', bytesPerSecond = Infinity } = options;
  const headers = {
    Host: PLATFORM_HOST,
    'Attempt-Id': id,
    'Deadline-Ms': '60000',
    Authorization: `Bearer ${PLATFORM_KEY}`,
    ...options.headers,
  };
  const pauseMs = createPace(bytesPerSecond);
  return new Promise((resolve) => {
    let isAnswered = false;
    const call = request({ ...address, path, headers, agent: false }, (response) => {
      isAnswered = true;
      options.onAnswer?.();
      void readAnswer(response, { start: options.mayRead, pauseMs }).then(
        ({ bytes: body, isComplete }) => {
          if (response.statusCode !== 200) resolve({ end: 'refused', body });
          else if (!isComplete) resolve({ end: 'broken off', body });
          else resolve({ end: body.length === bodyBytes ? 'whole' : 'truncated', body });
        },
      );
    });
    call.on('error', () => {
      if (!isAnswered) resolve({ end: 'no answer', body: NOTHING });
    });
    call.end();
  });
}

/**
 * Counts answers by their ends.
 *
 * @param answers - what callers got
 * @returns number of answers of each end that occurs
 */
export function countEnds(answers: readonly CallerAnswer[]): Record<string, number> {
  const counts: Record<string, number> = {};
  answers.forEach(({ end }) => {
    counts[end] = (counts[end] ?? 0) + 1;
  });
  return counts;
}
