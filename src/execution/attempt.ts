import { randomUUID } from 'node:crypto';

import type { Prefill, Reservation } from '../backends/engine.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Incarnation } from '../domain/vm.js';
import type { Kernel } from '../kernel/kernel.js';

/** One attempt to run a model request, and its resources at the engines. */
export interface Attempt {
  readonly attemptId: string;
  readonly owner: Incarnation;
  readonly servers: Map<string, EngineServer>;
  decodeServer?: EngineServer;
  reservation?: Reservation;
  prefillServer?: EngineServer;
  prefill?: Prefill;
}

/**
 * Creates an attempt that has called no engine.
 *
 * @param kernel - finds `membership`
 * @returns an attempt with a new attempt id
 */
export function createAttempt(kernel: Kernel): Attempt {
  const { vm, incarnation } = kernel.find('membership').self();
  return { attemptId: randomUUID(), owner: { vm, incarnation }, servers: new Map() };
}
