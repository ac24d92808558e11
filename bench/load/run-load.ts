import { setTimeout as delay } from 'node:timers/promises';

import { startFleet, type Fleet } from '../../harness/fleet.js';
import { planFleet, type Deployment } from './deployment.js';
import { FleetCallers } from './fleet-callers.js';
import { computeMeasures, type Measures } from './measures.js';
import { POOL, TARGETS } from './pool.js';
import { generateWorkload } from './workload.js';

/** One run against real daemons. */
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
 * Starts a fleet, sends the load and ends the fleet.
 *
 * @param run - what to run
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
    // A share starts from an empty bucket, and the teams' bursts have to fill first.
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

/** A server that ended during a run would be missing from the records. */
function recordEndedServers(fleet: Fleet): string[] {
  const ended: string[] = [];
  fleet.servers.forEach(({ process }, name) => {
    void process.ended.then(() => ended.push(`${name} has ended: ${process.stderr()}`));
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
