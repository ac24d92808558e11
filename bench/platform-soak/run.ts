import { setTimeout as delay } from 'node:timers/promises';

import { Caller } from './callers.js';
import { carryOut, createFaults } from './events.js';
import { findBroken, RECOVER_MS } from './promises.js';
import { SoakPlatform } from './soak-platform.js';

/** What a soak run is made of. */
export interface PlatformSoakPlan {
  readonly seed: number;
  /** Length of the schedule of faults, in seconds. */
  readonly seconds: number;
  /** Number of VMs. */
  readonly vms: number;
}

/** What a soak run has shown. */
export interface PlatformSoakReport {
  readonly broken: readonly string[];
  readonly faults: number;
  readonly requests: number;
  readonly served: number;
  /** Folder with settings and logs of the VMs. */
  readonly folder: string;
}

const CALLERS = 8;

/** Time for the first VMs to become ready, and time of traffic after the recovery, in milliseconds. */
const START_MS = 5000;
const AFTER_MS = 3000;

/**
 * Makes one soak run: real processes, faults from outside them, and callers all the while.
 *
 * @param plan - seed and size
 * @returns broken promises and counts
 */
export async function runPlatformSoak(plan: PlatformSoakPlan): Promise<PlatformSoakReport> {
  const platform = await SoakPlatform.create(plan.vms);
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    Caller.create(`c${index}`, platform),
  );
  try {
    await delay(START_MS);
    let running = true;
    const traffic = callers.map((caller) => caller.run(() => running));
    const faults = createFaults(plan.seed, plan.seconds * 1000);
    await Promise.all(
      faults.map(async (fault) => {
        await delay(fault.atMs);
        await carryOut(platform, fault);
      }),
    );
    const healedMs = Date.now();
    // A fault may have ended a VM that another one had just begun to start.
    await Promise.all(platform.vms.map((vm) => vm.start()));
    await delay(RECOVER_MS + AFTER_MS);
    running = false;
    await Promise.all(traffic);
    const records = callers.flatMap((caller) => caller.records);
    const served = records.filter(({ status, whole }) => status === 200 && whole).length;
    const broken = findBroken(platform, records, healedMs);
    const { folder } = platform;
    return { broken, faults: faults.length, requests: records.length, served, folder };
  } finally {
    await platform.close();
  }
}
