import { setTimeout as delay } from 'node:timers/promises';

import { waitFor } from '../../../harness/wait-for.js';

/** Waits are shortened by this factor, so that the cases with leases take seconds. */
export const SPEED = 4;

/** Waits until a condition holds; the time is that of the fast clocks. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  withinMs: number,
): Promise<void> {
  await waitFor(what, condition, { deadlineMs: withinMs / SPEED, everyMs: 5 });
}

/** Waits for a time of the fast clocks. */
export async function sleepFast(ms: number): Promise<void> {
  await delay(ms / SPEED);
}
