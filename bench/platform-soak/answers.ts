import { createHash, randomBytes } from 'node:crypto';

import type { UnframedAnswer } from '../../stand-ins/platform/unframed-answer.js';
import { createRandom } from '../soak/schedule.js';

/** Sizes of bodies, in bytes; the last one is more than the buffers of the operating system hold. */
const SIZES = [
  ...[800, 800, 1500, 2000, 2000, 4800, 4800, 20_000, 20_000, 65_000, 65_000, 200_000],
  ...[200_000, 300_000, 300_000, 300_000, 600_000, 600_000, 600_000, 12_000_000],
];

/** Times from the last byte until the connection ends, in milliseconds. */
const END_DELAYS_MS = [0, 0, 0, 1, 1, 2, 3, 5, 10, 30, 60];

/** Ways in which the connection of an answer ends, with `whole` and `early` close it in the ordinary way. */
const ENDS = ['whole', 'whole', 'whole', 'early', 'reset', 'reset'] as const;

/** Share of the body, in percent, that is sent before a connection ends early. */
const SENT_PERCENT = [0, 1, 25, 75, 99];

/**
 * Creates a source of plain answers, half of which have neither length nor chunks.
 *
 * @param seed - equal seeds give equal sizes, ends and moments
 * @returns a function that draws the next answer; undefined stands for one with a length
 */
export function createAnswers(seed: number): () => UnframedAnswer | undefined {
  const random = createRandom(seed);
  const choose = <T>(values: readonly T[]): T => values[random.integer(0, values.length)]!;
  return () => {
    if (random.integer(0, 2) === 0) return undefined;
    const body = randomBytes(choose(SIZES));
    const end = choose(ENDS);
    const part = body.subarray(0, Math.floor((body.length * choose(SENT_PERCENT)) / 100));
    const sent = end === 'whole' ? body : part;
    return {
      pieces: [sent],
      pauseMs: 0,
      end: end === 'reset' ? 'reset' : 'close',
      delayMs: choose(END_DELAYS_MS),
      isComplete: end !== 'reset',
      digest: digestBody(end === 'reset' ? body : sent),
    };
  };
}

/** Events of a whole stream, of which some are longer than a segment of TCP. */
const EVENT_BYTES = [10, 10, 200, 3000, 10, 10, 9000, 10, 10, 10];

/** Times between two pieces of a stream, in milliseconds. */
const PAUSES_MS = [0, 5, 60, 150, 150];

/** Ways in which the connection of a stream ends: in the ordinary way, or inside an event or by a reset. */
const STREAM_ENDS = [
  'whole',
  'whole',
  'whole',
  'after an event',
  'inside an event',
  'reset',
] as const;

/**
 * Creates a source of streams, half of which have neither length nor chunks.
 *
 * @param seed - equal seeds give equal events, ends and moments
 * @returns a function that draws the next stream; undefined stands for one in chunks
 */
export function createStreams(seed: number): () => UnframedAnswer | undefined {
  const random = createRandom(seed);
  const choose = <T>(values: readonly T[]): T => values[random.integer(0, values.length)]!;
  return () => {
    if (random.integer(0, 2) === 0) return undefined;
    const events = EVENT_BYTES.map((bytes, index) =>
      Buffer.from(`id: ${index + 1}\ndata: ${randomBytes(bytes / 2).toString('hex')}\n\n`),
    );
    const end = choose(STREAM_ENDS);
    const sent = end === 'whole' ? events : events.slice(0, random.integer(1, events.length));
    // Pieces end inside events, so that a kill does too.
    const bytes = Buffer.concat(sent);
    const cut = end === 'inside an event' ? bytes.subarray(0, bytes.length - 3) : bytes;
    const pieceBytes = Math.ceil(cut.length / sent.length);
    const isComplete = end === 'whole' || end === 'after an event';
    return {
      pieces: sent.map((_, index) => cut.subarray(index * pieceBytes, (index + 1) * pieceBytes)),
      pauseMs: choose(PAUSES_MS),
      end: end === 'reset' ? 'reset' : 'close',
      delayMs: choose(END_DELAYS_MS),
      isComplete,
      digest: digestBody(isComplete ? cut : Buffer.concat(events)),
    };
  };
}

/**
 * Computes the digest by which bodies are compared.
 *
 * @param body - the bytes
 * @returns their SHA-256 in hexadecimal
 */
export function digestBody(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}
