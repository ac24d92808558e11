import { setTimeout as delay } from 'node:timers/promises';

import { createRandom } from '../soak/schedule.js';
import type { SoakPlatform } from './soak-platform.js';

/** Faults of a soak run; each begins, lasts for a time and ends. */
export const FAULTS = [
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
  readonly kind: (typeof FAULTS)[number];
  /** Chooses a VM or a server. */
  readonly place: number;
  readonly forMs: number;
}

const SHORTEST_GAP_MS = 300;
const LONGEST_GAP_MS = 1500;
const SHORTEST_MS = 500;
const LONGEST_MS = 4000;
const PLACES = 1000;

/** Delay of a slow store or server each way, in milliseconds. */
const SLOW_MS = 300;

/**
 * Draws a schedule of faults that overlap.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time until the last fault, in milliseconds
 * @returns faults in order of time
 */
export function createFaults(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(seed);
  const faults: Fault[] = [];
  const step = () => random.integer(SHORTEST_GAP_MS, LONGEST_GAP_MS);
  for (let atMs = step(); atMs < lengthMs; atMs += step()) {
    const kind = FAULTS[random.integer(0, FAULTS.length)]!;
    const place = random.integer(0, PLACES);
    faults.push({ atMs, kind, place, forMs: random.integer(SHORTEST_MS, LONGEST_MS) });
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
export async function carryOut(platform: SoakPlatform, fault: Fault): Promise<void> {
  const { place, forMs } = fault;
  const vm = platform.vms[place % platform.vms.length]!;
  const server = platform.servers[place % platform.servers.length]!;
  const wait = () => delay(forMs);
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
      platform.store.setOut(true);
      await wait();
      platform.store.setOut(false);
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
      storeRelay.delay('to-client', SLOW_MS);
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
      server.relay.delay('to-client', SLOW_MS);
      await wait();
      server.relay.heal();
      break;
    case 'server-leaves':
      await platform.replace(server);
      break;
    default:
      platform.changeConfiguration();
  }
}
