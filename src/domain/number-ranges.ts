import { z } from 'zod';

/** Range of a number that another program sends. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
}

/** Tokens of a prompt, of a part of it, or of an answer: many times the KV memory of an engine. */
export const TOKEN_RANGE: NumberRange = { min: 0, max: 10_000_000 };

/** Durations in milliseconds, up to the longest that a timer of Node accepts. */
export const DURATION_RANGE_MS: NumberRange = { min: 0, max: 2_147_483_647 };

/** Texts that are no number or a smaller one are `malformed`. */
export type NumberReading = number | 'malformed' | 'too large';

/**
 * Reads a number.
 *
 * @param text - text of any length
 * @param range - accepted values
 * @returns the number, or why there is none
 */
export function readNumber(text: string, { min, max }: NumberRange): NumberReading {
  const value = text.trim() === '' ? NaN : Number(text);
  if (value > max) return 'too large';
  return value >= min ? value : 'malformed';
}

/**
 * Builds a schema of numbers within a range.
 *
 * @param range - accepted values
 * @returns the schema
 */
export function numberWithin({ min, max }: NumberRange) {
  return z.number().min(min).max(max);
}

/** Numbers of which many can be added without a loss of whole units, such as counts, times and offsets. */
export const boundedNumber = numberWithin({
  min: -Number.MAX_SAFE_INTEGER,
  max: Number.MAX_SAFE_INTEGER,
});
