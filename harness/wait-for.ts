import { setTimeout as delay } from 'node:timers/promises';

/** How long and how often to look. */
export interface WaitOptions {
  /** Longest wait, in milliseconds. */
  readonly timeoutMs?: number;
  /** Time between two looks, in milliseconds. */
  readonly intervalMs?: number;
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
  const { timeoutMs = 5000, intervalMs = 20 } = options;
  const deadlineMs = performance.now() + timeoutMs;
  let lastResult = 'the check gave no value';
  while (performance.now() < deadlineMs) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
      lastResult = `the check gave ${String(value)}`;
    } catch (error) {
      lastResult = String(error);
    }
    await delay(intervalMs);
  }
  throw new Error(`waited ${timeoutMs} ms for ${what}: ${lastResult}`);
}
