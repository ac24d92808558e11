import { setTimeout as delay } from 'node:timers/promises';

import { createSchedule, type ScheduledFault } from './fault-schedule.js';
import type { SoakPlatform } from './soak-platform.js';

/** Kinds of faults of a soak run. */
export const FAULT_KINDS = [
  'kill-vm',
  'pause-vm',
  'stop-vm',
  'reload-vm',
  'store-out',
  'store-silent',
  'store-cut',
  'store-slow',
  'store-back',
  'server-cut',
  'server-silent',
  'server-slow',
  'server-leaves',
  'configuration',
] as const;

/** One scheduled fault; its target selects a VM or a server. */
export type Fault = ScheduledFault<(typeof FAULT_KINDS)[number]>;

const SCHEDULE = {
  kinds: FAULT_KINDS,
  ...{ minGapMs: 300, maxGapMs: 1500, minDurationMs: 500, maxDurationMs: 4000 },
};

/** Time for which a store is away before it comes back from a copy, in milliseconds. */
const ROLLBACK_OUTAGE_MS = 400;

/** Time after which the operator and the servers write again what the copy lacks, in milliseconds. */
const WRITE_AGAIN_MS = 500;

/** Delay that a slow store or server link adds to data towards its client, in milliseconds. */
const LINK_DELAY_MS = 300;

/**
 * Generates a schedule of faults, which may overlap.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time before which every fault starts, in milliseconds
 * @returns faults ordered by start time
 */
export function createFaultSchedule(seed: number, lengthMs: number): Fault[] {
  return createSchedule(seed, lengthMs, SCHEDULE);
}

/**
 * Puts an older copy in place of the store after a short outage; what its owners wrote is written again.
 *
 * @param platform - the running platform
 * @param durationMs - time from the copy to the outage, in milliseconds
 */
export async function rollBackStore(platform: SoakPlatform, durationMs: number): Promise<void> {
  const { store } = platform;
  if (platform.isRollingBack) return;
  Object.assign(platform, { isRollingBack: true });
  const copy = store.takeCopy();
  await delay(durationMs);
  const end = platform.disturbances.begin('store');
  store.setUnavailable(true);
  await delay(ROLLBACK_OUTAGE_MS);
  const writeAgain = store.writesSince(copy);
  store.rollBack(copy);
  store.setUnavailable(false);
  await delay(WRITE_AGAIN_MS);
  writeAgain();
  end();
  Object.assign(platform, { isRollingBack: false });
}

/**
 * Injects one fault and ends it after its duration.
 *
 * @param platform - the running platform
 * @param fault - kind, target and duration
 * @returns a promise that resolves when the fault has ended
 */
export async function injectFault(platform: SoakPlatform, fault: Fault): Promise<void> {
  const { targetIndex, durationMs } = fault;
  const vm = platform.vms[targetIndex % platform.vms.length]!;
  const server = platform.servers[targetIndex % platform.servers.length]!;
  const wait = () => delay(durationMs);
  const scope = fault.kind.includes('vm') ? vm.host : 'store';
  const hasScope = fault.kind.includes('vm') || fault.kind.includes('store');
  const end = hasScope ? platform.disturbances.begin(scope) : () => {};
  const relays = platform.storeRelays;
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
      relays.forEach((relay) => relay.silenceOpenConnections());
      break;
    case 'store-cut':
      relays.forEach((relay) => relay.cut());
      await wait();
      relays.forEach((relay) => relay.heal());
      break;
    case 'store-slow':
      relays.forEach((relay) => relay.delay('to-client', LINK_DELAY_MS));
      await wait();
      relays.forEach((relay) => relay.heal());
      break;
    case 'store-back':
      await rollBackStore(platform, durationMs);
      break;
    case 'server-cut':
      server.relay.cut();
      await wait();
      server.relay.heal();
      break;
    case 'server-silent':
      server.relay.silenceOpenConnections();
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
      platform.operator.change();
  }
  end();
}
