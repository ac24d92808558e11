import { setTimeout as delay } from 'node:timers/promises';

import { createRandom } from '../soak/schedule.js';
import type { SoakPlatform } from './soak-platform.js';

/** Faults of a soak run; each begins, lasts for a time and ends. */
export const FAULT_KINDS = [
  'kill-vm',
  'pause-vm',
  'stop-vm',
  'reload-vm',
  'store-out',
  'store-silent',
  'store-cut',
  'store-slow',
  'server-cut',
  'server-silent',
  'server-slow',
  'server-leaves',
  'configuration',
] as const;

/** One fault of a schedule. */
export interface Fault {
  readonly atMs: number;
  readonly kind: (typeof FAULT_KINDS)[number];
  /** Chooses a VM or a server. */
  readonly targetIndex: number;
  readonly durationMs: number;
}

const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1500;
const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 4000;
const TARGET_INDEX_LIMIT = 1000;

/** Delay of a slow store or server each way, in milliseconds. */
const LINK_DELAY_MS = 300;

/**
 * Draws a schedule of faults that overlap.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time until the last fault, in milliseconds
 * @returns faults in order of time
 */
export function createFaultSchedule(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(seed);
  const faults: Fault[] = [];
  const step = () => random.integer(MIN_GAP_MS, MAX_GAP_MS);
  for (let atMs = step(); atMs < lengthMs; atMs += step()) {
    const kind = FAULT_KINDS[random.integer(0, FAULT_KINDS.length)]!;
    const targetIndex = random.integer(0, TARGET_INDEX_LIMIT);
    faults.push({
      atMs,
      kind,
      targetIndex,
      durationMs: random.integer(MIN_DURATION_MS, MAX_DURATION_MS),
    });
  }
  return faults;
}

/**
 * Carries out one fault.
 *
 * @param platform - the running platform
 * @param fault - what happens, and for how long
 * @returns a promise that resolves when the fault has ended
 */
export async function injectFault(platform: SoakPlatform, fault: Fault): Promise<void> {
  const { targetIndex, durationMs } = fault;
  const vm = platform.vms[targetIndex % platform.vms.length]!;
  const server = platform.servers[targetIndex % platform.servers.length]!;
  const wait = () => delay(durationMs);
  const { storeRelay } = platform;
  switch (fault.kind) {
    case 'kill-vm':
      await vm.end('SIGKILL');
      await wait();
      await vm.start();
      break;
    case 'stop-vm':
      await vm.end('SIGTERM');
      await vm.start();
      break;
    case 'pause-vm':
      vm.signal('SIGSTOP');
      await wait();
      vm.signal('SIGCONT');
      break;
    case 'reload-vm':
      vm.signal('SIGHUP');
      break;
    case 'store-out':
      platform.store.setUnavailable(true);
      await wait();
      platform.store.setUnavailable(false);
      break;
    case 'store-silent':
      storeRelay.silenceOpen();
      break;
    case 'store-cut':
      storeRelay.cut();
      await wait();
      storeRelay.heal();
      break;
    case 'store-slow':
      storeRelay.delay('to-client', LINK_DELAY_MS);
      await wait();
      storeRelay.heal();
      break;
    case 'server-cut':
      server.relay.cut();
      await wait();
      server.relay.heal();
      break;
    case 'server-silent':
      server.relay.silenceOpen();
      break;
    case 'server-slow':
      server.relay.delay('to-client', LINK_DELAY_MS);
      await wait();
      server.relay.heal();
      break;
    case 'server-leaves':
      await platform.replaceServer(server);
      break;
    default:
      platform.changeConfiguration();
  }
}
