import { setTimeout as delay } from 'node:timers/promises';

import { waitFor } from '../../../harness/wait-for.js';

/** Acceleration of the clocks, so that scenarios with leases take only seconds. */
export const SPEED = 4;

/** Waits until a condition holds; the time limit is that of the accelerated clocks. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  withinMs: number,
): Promise<void> {
  await waitFor(what, condition, { timeoutMs: withinMs / SPEED, intervalMs: 5 });
}

/** Waits for a time of the accelerated clocks. */
export async function sleepFast(ms: number): Promise<void> {
  await delay(ms / SPEED);
}
