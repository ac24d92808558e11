import { setImmediate as flush } from 'node:timers/promises';

import type { EngineServer } from '../../src/domain/backend-server.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { computeMeasures, type Measures, type RequestResult } from '../load/measures.js';
import { POOL, TARGETS } from '../load/pool.js';
import { RandomSource } from '../load/random-source.js';
import { generateWorkload, type Workload } from '../load/workload.js';
import { FakeEngine } from './fake-engine.js';
import { ModuleRun, type VmContext } from './module-run.js';
import { MODEL, startModuleVm, type ModuleVm } from './module-vm.js';
import type { Policy } from './policies.js';
import { ServerChooser } from './server-chooser.js';

const VM_COUNT = 3;
const QUEUE_MS = 1000;
const LONG_QUEUE_MS = 10_000;
// A VM's share of a team's rate starts with an empty bucket; the largest burst fills within this time.
const BUCKET_FILL_MS = 10_000;
const WARM_UP_MS = 3000;

/** One run of a policy. */
export interface Trial {
  readonly policy: Policy;
  readonly load: number;
  readonly seed: number;
  readonly seconds: number;
}

/**
 * Runs a policy on fakes with a manual clock; equal trials give equal measures.
 *
 * @param trial - policy, load, seed and measured time
 * @returns the measures
 */
export async function runTrial(trial: Trial): Promise<Measures> {
  const { policy, load, seed } = trial;
  const durationMs = WARM_UP_MS + trial.seconds * 1000;
  const workload = generateWorkload({ seed, load, durationMs, pool: POOL });
  const clock = ManualClock.create();
  const engines = createEngines(clock);
  const counts = { prefillTokens: 0, wastedPrefillTokens: 0 };
  const vms: ModuleVm[] = [];
  const contexts: VmContext[] = [];
  for (let index = 0; index < VM_COUNT; index += 1) {
    const random = RandomSource.create(seed * 1000 + index).next;
    const teams = workload.teams.filter((_, team) => team % VM_COUNT === index);
    const zone = `zone-${index}`;
    const plan = { name: `vm-${index}`, zone, policy, teams, engines, clock, random };
    const vm = await startModuleVm(plan);
    vms.push(vm);
    contexts.push({
      ...{
        policy,
        vm,
        engines,
        clock,
        seed,
        acquireTurn: createAdmissionTurns(policy.hasFairQueueing),
      },
      chooser: ServerChooser.create(policy.choice, vm.routing, [...engines.values()], random),
      queueMs: policy.refusesEarly ? (policy.preset.queueMs ?? QUEUE_MS) : LONG_QUEUE_MS,
      countPrefill: (tokens, wasted) => {
        counts.prefillTokens += tokens;
        if (wasted) counts.wastedPrefillTokens += tokens;
      },
    });
  }
  const results = await runWorkload(clock, workload, contexts);
  await Promise.all(vms.map((vm) => vm.stop()));
  const runOutcome = { workload, results, pool: POOL, targets: TARGETS };
  return computeMeasures({ ...runOutcome, warmUpMs: WARM_UP_MS, durationMs, ...counts });
}

async function runWorkload(
  clock: ManualClock,
  workload: Workload,
  contexts: readonly VmContext[],
): Promise<readonly RequestResult[]> {
  const results: RequestResult[] = [];
  const contextByTeam = new Map(
    workload.teams.map(({ name }, index) => [name, contexts[index % VM_COUNT]]),
  );
  const { arrivals } = workload;
  for (let passedMs = 0; passedMs < BUCKET_FILL_MS; passedMs += 100) {
    clock.advance(100);
    await flush();
  }
  for (let nowMs = 0, next = 0; results.length < arrivals.length; nowMs += 1) {
    clock.advance(1);
    await flush();
    for (; next < arrivals.length && arrivals[next]!.atMs <= nowMs; next += 1) {
      const context = contextByTeam.get(arrivals[next]!.team);
      if (context)
        void ModuleRun.run(context, arrivals[next]!).then((result) => results.push(result));
    }
  }
  return results;
}

/**
 * Admits requests immediately under fair queueing, otherwise one after another in the order of arrival.
 */
function createAdmissionTurns(isFair: boolean): () => Promise<() => void> {
  if (isFair) return async () => () => {};
  let last = Promise.resolve();
  return async () => {
    const previous = last;
    let releaseTurn = () => {};
    last = new Promise((resolve) => {
      releaseTurn = resolve;
    });
    await previous;
    return releaseTurn;
  };
}

function createEngines(clock: ManualClock): ReadonlyMap<string, FakeEngine> {
  const roles = [
    ...Array.from({ length: POOL.prefillEngines }, () => 'prefill' as const),
    ...Array.from({ length: POOL.decodeEngines }, () => 'decode' as const),
  ];
  return new Map(
    roles.map((role, index) => {
      const server: EngineServer = {
        ...{ kind: 'engine', name: `engine-${index + 1}`, role, models: [MODEL], draining: false },
        ...{
          address: { host: '127.0.0.1', port: index + 1 },
          availabilityZone: `zone-${index % 3}`,
        },
        ...{ decodeSlots: POOL.slots, kvBlocks: POOL.kvBlocks },
        ...{ checksFencing: false, checksCommander: false },
      };
      return [server.name, FakeEngine.create(server, POOL, clock)];
    }),
  );
}
