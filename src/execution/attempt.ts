import { randomUUID } from 'node:crypto';

import type { Prefill, Reservation } from '../backends/engine.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Incarnation } from '../domain/vm.js';
import type { Kernel } from '../kernel/kernel.js';

/** One attempt: its id, and what it has at the engines. */
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
 * Creates a attempt that has called no engine.
 *
 * @param kernel - registry of services
 * @returns a attempt with a new attempt id
 */
export function createAttempt(kernel: Kernel): Attempt {
  const { vm, incarnation } = kernel.find('membership').self();
  return { attemptId: randomUUID(), owner: { vm, incarnation }, servers: new Map() };
}
