import { setTimeout as delay } from 'node:timers/promises';

import { startFleet, type Fleet } from '../../harness/fleet.js';
import { planFleet, type Deployment } from './deployment.js';
import { FleetCallers } from './fleet-callers.js';
import { computeMeasures, type Measures } from './measures.js';
import { POOL, TARGETS } from './pool.js';
import { generateWorkload } from './workload.js';

/** One load run against real daemons. */
export interface LoadRun {
  readonly deployment: Deployment;
  readonly preset: string;
  readonly load: number;
  readonly seed: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

interface PrefillRecord {
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
}

/**
 * Starts a fleet, sends the workload and stops the fleet.
 *
 * @param run - deployment, preset, load, seed and times
 * @returns the measures
 */
export async function runLoad(run: LoadRun): Promise<Measures> {
  const { deployment, seed, load, warmUpMs, durationMs } = run;
  const workload = generateWorkload({ seed, load, durationMs, pool: POOL });
  const fleet = await startFleet(planFleet(deployment, POOL, workload.teams, run.preset));
  const ended = recordEndedServers(fleet);
  try {
    const names = workload.teams.map(({ name }) => name);
    const callers = await FleetCallers.create(fleet, deployment.model, names, seed);
    // A daemon's share of a team's rate starts with an empty bucket; wait until every burst has filled.
    await delay(Math.max(...workload.teams.map(({ burst, rate }) => (burst * 1000) / rate)));
    const results = await callers.sendAll(workload.arrivals);
    if (ended.length > 0) throw new Error(ended.join('\n'));
    return computeMeasures({
      ...{ workload, results, pool: POOL, targets: TARGETS, warmUpMs, durationMs },
      ...(await sumPrefillTokens(fleet)),
    });
  } finally {
    await fleet.stop();
  }
}

/**
 * Collects a message for each server that exits during the run, since its record would be missing from
 * the sums.
 */
function recordEndedServers(fleet: Fleet): string[] {
  const ended: string[] = [];
  fleet.servers.forEach(({ process }, name) => {
    void process.ended.then(() =>
      ended.push(`server ${name} exited during the run: ${process.stderr()}`),
    );
  });
  return ended;
}

async function sumPrefillTokens(fleet: Fleet): Promise<PrefillRecord> {
  const records = await Promise.all(
    [...fleet.servers.values()].map((server) => server.readRecord<Partial<PrefillRecord>>()),
  );
  const sum = (field: keyof PrefillRecord) =>
    records.reduce((total, record) => total + (record[field] ?? 0), 0);
  return {
    prefillTokens: sum('prefillTokens'),
    wastedPrefillTokens: sum('wastedPrefillTokens'),
  };
}
