import { setTimeout as delay } from 'node:timers/promises';

import type { TcpRelay } from '../../harness/tcp-relay.js';
import type { Severity } from './disturbances.js';
import { rollBackStore } from './events.js';
import { createSchedule, type ScheduledFault } from './fault-schedule.js';
import type { SoakPlatform } from './soak-platform.js';
import type { SoakVm } from './soak-vm.js';

/** Kinds of faults that concern how VMs learn of the configuration. */
const STORE_FAULT_KINDS = [
  'turns-away',
  'resets',
  'loses-answers',
  'back',
  'pause-half',
  'kill-half',
  'cut-half',
] as const;

/** One scheduled fault; its target selects the VMs that it hits. */
export type StoreFault = ScheduledFault<(typeof STORE_FAULT_KINDS)[number]>;

const SCHEDULE = {
  kinds: STORE_FAULT_KINDS,
  ...{ minGapMs: 500, maxGapMs: 2500, minDurationMs: 300, maxDurationMs: 4000 },
};

/**
 * Generates a schedule of faults, which may overlap.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time before which every fault starts, in milliseconds
 * @returns faults ordered by start time
 */
export function createStoreFaults(seed: number, lengthMs: number): StoreFault[] {
  return createSchedule(seed, lengthMs, SCHEDULE);
}

/** What a fault hits: some VMs with their relays, and the store. */
interface Hit {
  readonly platform: SoakPlatform;
  readonly targets: readonly { readonly vm: SoakVm; readonly relay: TcpRelay }[];
}

/** How a fault begins and ends, and what it disturbs meanwhile. */
interface Effect {
  readonly disturbs: 'targets' | 'store';
  readonly severity?: Severity;
  readonly begin: (hit: Hit) => Promise<unknown> | void;
  readonly end: (hit: Hit) => Promise<unknown> | void;
}

const LOST_SHARE = 0.5;

const EFFECTS: Readonly<Record<Exclude<StoreFault['kind'], 'back'>, Effect>> = {
  'turns-away': {
    ...{ disturbs: 'store', severity: 'mild' },
    begin: ({ targets }) => targets.forEach(({ relay }) => relay.cut()),
    end: ({ targets }) => targets.forEach(({ relay }) => relay.heal()),
  },
  resets: {
    ...{ disturbs: 'store', severity: 'mild' },
    begin: ({ platform }) =>
      platform.storeRelays.forEach((relay) => {
        relay.cut();
        relay.heal();
      }),
    end: () => {},
  },
  'loses-answers': {
    disturbs: 'store',
    begin: ({ platform }) => platform.store.setLostShare(LOST_SHARE),
    end: ({ platform }) => platform.store.setLostShare(0),
  },
  'pause-half': {
    disturbs: 'targets',
    begin: ({ targets }) => targets.forEach(({ vm }) => vm.signal('SIGSTOP')),
    end: ({ targets }) => targets.forEach(({ vm }) => vm.signal('SIGCONT')),
  },
  'kill-half': {
    disturbs: 'targets',
    begin: ({ targets }) => Promise.all(targets.map(({ vm }) => vm.end('SIGKILL'))),
    end: ({ targets }) => Promise.all(targets.map(({ vm }) => vm.start())),
  },
  'cut-half': {
    disturbs: 'targets',
    begin: ({ targets }) => targets.forEach(({ relay }) => relay.silence()),
    end: ({ targets }) => targets.forEach(({ relay }) => relay.heal()),
  },
};

/**
 * Injects one fault and ends it after its duration.
 *
 * @param platform - the running platform
 * @param fault - kind, targets and duration
 * @returns a promise that resolves when the fault has ended
 */
export async function injectStoreFault(
  platform: SoakPlatform,
  { kind, targetIndex, durationMs }: StoreFault,
): Promise<void> {
  if (kind === 'back') {
    await rollBackStore(platform, durationMs);
    return;
  }
  const { vms, storeRelays, disturbances } = platform;
  const half = Math.ceil(vms.length / 2);
  const targets = vms
    .map((vm, index) => ({ vm, relay: storeRelays[index]! }))
    .filter((_, index) => (index + targetIndex) % vms.length < half);
  const { disturbs, severity, begin, end } = EFFECTS[kind];
  const scopes = disturbs === 'store' ? ['store'] : targets.map(({ vm }) => vm.host);
  const ends = scopes.map((scope) => disturbances.begin(scope, severity));
  await begin({ platform, targets });
  await delay(durationMs);
  await end({ platform, targets });
  ends.forEach((endDisturbance) => endDisturbance());
}
