import { setTimeout as delay } from 'node:timers/promises';

import { ConfigurationWatch } from '../../harness/configuration-watch.js';
import { type Fleet, type FleetPlan, startFleet } from '../../harness/fleet.js';
import { publishVms } from '../../harness/list-vms.js';
import { planChanges, planSmallFleet } from '../../harness/plans.js';
import { SoakEventRunner } from './events.js';
import { checkInvariants, type InvariantResult } from './invariants.js';
import { createJournal, type SoakJournal } from './journal.js';
import { createSchedule } from './schedule.js';
import { giveFirstKeys } from './team-keys.js';
import { startTraffic } from './traffic.js';

/** The longest bound of a guarantee is 10 s, for holds; the rest allows for a slow machine. */
const SETTLE_MS = 12_000;

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
}

/** Outcome of a soak run. */
export interface SoakReport {
  readonly results: readonly InvariantResult[];
  readonly journal: SoakJournal;
}

/**
 * Starts a fleet, runs a seeded fault schedule under traffic, clears all faults and checks the
 * invariants.
 *
 * @param options - seed and length of the schedule
 * @returns results and journal
 */
export async function runSoak({ seed, seconds }: SoakOptions): Promise<SoakReport> {
  const plan = planSoakFleet();
  const fleet = await startFleet(plan);
  try {
    await publishVms(fleet, plan);
    return await runSchedule(fleet, { seed, seconds });
  } finally {
    await fleet.stop();
  }
}

async function runSchedule(fleet: Fleet, { seed, seconds }: SoakOptions): Promise<SoakReport> {
  const journal = createJournal();
  const keys = await giveFirstKeys(fleet);
  const watch = ConfigurationWatch.create(fleet);
  const traffic = startTraffic(fleet, keys, journal, seed);
  const events = SoakEventRunner.create(fleet, keys, journal);
  await events.run(createSchedule(seed, seconds * 1000));
  await events.clearFaults();
  await traffic.stop();
  await delay(SETTLE_MS);
  await watch.stop();
  const results = await checkInvariants(fleet, journal, watch);
  events.expectExits();
  return { results, journal };
}

function planSoakFleet(): FleetPlan {
  return planSmallFleet({
    ...{ daemons: 4, prefills: 2, decodes: 3, services: 2, relayed: true },
    changes: [
      ...planChanges(),
      { kind: 'put-preset', preset: { name: 'peak', queueMs: 500 } },
      { kind: 'put-preset', preset: { name: 'quiet', queueMs: 2000 } },
    ],
  });
}
