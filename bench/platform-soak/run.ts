import { setTimeout as delay } from 'node:timers/promises';

import { Caller } from './callers.js';
import { injectFault, createFaultSchedule } from './events.js';
import { findViolations, RECOVERY_MS } from './promises.js';
import { SoakPlatform } from './soak-platform.js';
import { createStoreFaults, injectStoreFault } from './store-faults.js';

/** Options of a soak run. */
export interface PlatformSoakOptions {
  readonly seed: number;
  /** Length of the fault schedule, in seconds. */
  readonly seconds: number;
  /** Number of VMs. */
  readonly vms: number;
  /** Whether faults of the store replace those of the usual schedule. */
  readonly storeFaults?: boolean;
}

/** Outcome of a soak run. */
export interface PlatformSoakReport {
  /** One line for each broken guarantee. */
  readonly violations: readonly string[];
  readonly faults: number;
  readonly requests: number;
  readonly served: number;
  /** Folder with settings and logs of the VMs. */
  readonly folder: string;
}

const CALLER_COUNT = 8;

/** Pauses of the slow callers after each chunk, in milliseconds; the other callers do not pause. */
const CHUNK_PAUSES_MS = [4, 4, 25, 25];

/** Time for the VMs to become ready after their first start, in milliseconds. */
const STARTUP_MS = 5000;

/** Time for which traffic continues after the recovery, in milliseconds. */
const TRAFFIC_AFTER_RECOVERY_MS = 3000;

/**
 * Runs one soak: router processes under continuous traffic while faults are injected from outside.
 *
 * @param options - seed, length and number of VMs
 * @returns violations and counts
 */
export async function runPlatformSoak(options: PlatformSoakOptions): Promise<PlatformSoakReport> {
  const platform = await SoakPlatform.create(options.vms, options.seed);
  const callers = Array.from({ length: CALLER_COUNT }, (_, index) =>
    Caller.create(`c${index}`, platform, CHUNK_PAUSES_MS[index] ?? 0),
  );
  try {
    await delay(STARTUP_MS);
    let running = true;
    const traffic = callers.map((caller) => caller.run(() => running));
    const changes = platform.operator.run(() => running);
    const faults = scheduleFaults(platform, options);
    await Promise.all(
      faults.map(async ({ atMs, inject }) => {
        await delay(atMs);
        await inject();
      }),
    );
    const faultsEndedMs = Date.now();
    // A fault may have stopped a VM that another fault was just starting again.
    await Promise.all(platform.vms.map((vm) => vm.start()));
    await delay(RECOVERY_MS + TRAFFIC_AFTER_RECOVERY_MS);
    running = false;
    await Promise.all([...traffic, changes]);
    const records = callers.flatMap((caller) => caller.records);
    const served = records.filter(({ status, complete }) => status === 200 && complete).length;
    const violations = findViolations(platform, records, faultsEndedMs);
    const { folder } = platform;
    return { violations, faults: faults.length, requests: records.length, served, folder };
  } finally {
    await platform.close();
  }
}

function scheduleFaults(platform: SoakPlatform, options: PlatformSoakOptions) {
  const { seed, seconds, storeFaults } = options;
  return storeFaults
    ? createStoreFaults(seed, seconds * 1000).map((fault) => ({
        atMs: fault.atMs,
        inject: () => injectStoreFault(platform, fault),
      }))
    : createFaultSchedule(seed, seconds * 1000).map((fault) => ({
        atMs: fault.atMs,
        inject: () => injectFault(platform, fault),
      }));
}
