import { SystemClock } from '../../src/kernel/system-clock.js';
import { ConnectionGuard } from '../../src/memory/connection-guard.js';

/**
 * Creates a guard of a machine that is large enough for the connections of a scenario.
 *
 * @returns a new guard
 */
export function createConnectionGuard(): ConnectionGuard {
  const machine = { memoryBytes: 1_073_741_824, descriptors: 4096 };
  return ConnectionGuard.create(machine, SystemClock.create());
}
