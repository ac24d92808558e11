import { setTimeout as delay } from 'node:timers/promises';

/** Timeout and polling interval. */
export interface WaitOptions {
  /** Maximum wait, in milliseconds. */
  readonly timeoutMs?: number;
  /** Time between two checks, in milliseconds. */
  readonly intervalMs?: number;
}

/**
 * Polls until a check returns a value other than undefined or false. An exception in the check
 * counts as a failed check, and the result of the last check is part of the error message.
 *
 * @param what - description of the condition, for the error message
 * @param check - checks the condition once
 * @param options - timeout and polling interval
 * @returns the value that the check returned
 */
export async function waitFor<Value>(
  what: string,
  check: () => Value | undefined | false | Promise<Value | undefined | false>,
  options: WaitOptions = {},
): Promise<Value> {
  const { timeoutMs = 5000, intervalMs = 20 } = options;
  const deadlineMs = performance.now() + timeoutMs;
  let lastResult = 'the check returned no value';
  while (performance.now() < deadlineMs) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
      lastResult = `the check returned ${String(value)}`;
    } catch (error) {
      lastResult = String(error);
    }
    await delay(intervalMs);
  }
  throw new Error(`waited ${timeoutMs} ms for ${what}: ${lastResult}`);
}
