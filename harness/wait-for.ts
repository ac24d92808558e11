import { setTimeout as delay } from 'node:timers/promises';

/** How long and how often to look. */
export interface WaitOptions {
  /** Longest wait, in milliseconds. */
  readonly deadlineMs?: number;
  /** Time between two looks, in milliseconds. */
  readonly everyMs?: number;
}

/**
 * Waits until a check gives a value other than undefined or false. An exception in the check counts
 * as not yet, and its message is part of the error.
 *
 * @param what - what is waited for, for the error message
 * @param check - looks once
 * @param options - how long and how often
 * @returns the value of the check
 */
export async function waitFor<Value>(
  what: string,
  check: () => Value | undefined | false | Promise<Value | undefined | false>,
  options: WaitOptions = {},
): Promise<Value> {
  const { deadlineMs = 5000, everyMs = 20 } = options;
  const endsMs = performance.now() + deadlineMs;
  let last = 'the check gave no value';
  while (performance.now() < endsMs) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
      last = `the check gave ${String(value)}`;
    } catch (error) {
      last = String(error);
    }
    await delay(everyMs);
  }
  throw new Error(`waited ${deadlineMs} ms for ${what}: ${last}`);
}
