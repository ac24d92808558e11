import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** Waits are shortened by this factor, so that the cases with leases take seconds. */
export const SPEED = 4;

/** Finds a port that was free a moment ago. */
export async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, 'close');
  return port;
}

/** Waits until a condition holds; the time is that of the fast clocks. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  withinMs: number,
): Promise<void> {
  const deadlineMs = performance.now() + withinMs / SPEED;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) throw new Error(`not within ${withinMs} ms: ${what}`);
    await delay(5);
  }
}

/** Waits for a time of the fast clocks. */
export async function waitFor(ms: number): Promise<void> {
  await delay(ms / SPEED);
}
