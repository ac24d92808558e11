import { createMember, ORDINARY_PRESET, registerFake } from '../../harness/module-fakes.js';
import { SharedAdmission } from '../../src/admission/shared-admission.js';
import type { BackendServer } from '../../src/domain/backend-server.js';
import { Channel } from '../../src/kernel/channel.js';
import type { Clock } from '../../src/kernel/clock.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { succeed } from '../../src/kernel/outcome.js';
import type { Services } from '../../src/kernel/service.js';
import type { EngineLoad } from '../../src/routing/routing.js';
import { SubsetRouting } from '../../src/routing/subset-routing.js';
import type { Settings } from '../../src/settings/schema.js';
import { POOL } from '../load/pool.js';
import type { LoadTeam } from '../load/workload.js';
import type { FakeEngine } from './fake-engine.js';
import type { Policy } from './policies.js';

/** Model that all requests of the comparison name. */
export const MODEL = 'planner';

/** The decision modules of one VM. */
export interface ModuleVm {
  readonly name: string;
  readonly routing: SubsetRouting;
  readonly admission: SharedAdmission;
  /** Passes the load in an engine's answer to routing if the policy uses loads in answers. */
  readonly observe: (engine: FakeEngine) => void;
  readonly stop: () => Promise<void>;
}

/** Parameters of a VM. */
export interface ModuleVmPlan {
  readonly name: string;
  readonly zone: string;
  readonly policy: Policy;
  readonly teams: readonly LoadTeam[];
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly clock: Clock;
  readonly random: () => number;
}

const LONG_QUEUE_MS = 10_000;

/**
 * Starts the decision modules of a VM, with fakes of the services they depend on.
 *
 * @param plan - parameters of the VM
 * @returns the running modules
 */
export async function startModuleVm(plan: ModuleVmPlan): Promise<ModuleVm> {
  const { policy, clock, engines } = plan;
  const kernel = Kernel.create();
  registerFakes(kernel, plan);
  const vm = { name: plan.name, region: 'r', availabilityZone: plan.zone };
  const settings = { vm, rates: { homeCount: 1 } } as Settings;
  const routing = SubsetRouting.create(kernel, settings, clock, plan.random);
  const admission = SharedAdmission.create(kernel, settings, clock);
  kernel.register('routing', routing);
  kernel.register('admission', admission);
  await admission.start();
  await routing.start();
  // An initial poll replaces the load reports that a running VM would already have.
  engines.forEach((engine, name) =>
    routing.observeLoad(name, limitToPolicy(engine.readLoad(), policy)),
  );
  return {
    ...{ name: plan.name, routing, admission },
    observe: ({ server }) => {
      const engine = engines.get(server.name);
      if (policy.seesLoadsInAnswers && engine)
        routing.observeLoad(server.name, limitToPolicy(engine.readLoad(), policy));
    },
    stop: async () => {
      await routing.stop();
      await admission.stop();
    },
  };
}

/** Reduces a load report to what the policy can see. */
function limitToPolicy(load: EngineLoad, policy: Policy): EngineLoad {
  const visible = policy.countsBlocks ? load : { ...load, blocksFree: POOL.kvBlocks };
  if (!policy.seesLevelsOnly) return visible;
  const freeShare = (4 - load.level) / 4;
  return {
    ...visible,
    slotsFree: Math.round(freeShare * POOL.slots),
    blocksFree: Math.round(freeShare * POOL.kvBlocks),
    queuedPrefillTokens: Math.round((1 - freeShare) * POOL.prefillTokensPerSecond),
  };
}

function registerFakes(kernel: Kernel, plan: ModuleVmPlan): void {
  const register = (name: keyof Services, fake: object) => registerFake(kernel, name, fake);
  const emptyStream = () => Channel.create<never>().stream();
  const { self, epoch } = createEpoch(plan);
  register('membership', {
    ...{ self: () => self, joined: () => true, current: () => epoch, history: () => [epoch] },
    ...{ changes: emptyStream, reincarnations: emptyStream, leaseLive: () => true },
    confirmedEpoch: () => epoch.epoch,
  });
  const state = createState(plan);
  register('configuration', { current: () => state, changes: emptyStream });
  register('vm-list', { current: () => undefined, changes: emptyStream });
  register('peers', { handle: () => undefined });
  register('metrics', { increment: () => {}, gauge: () => {}, timing: () => {} });
  register('decisions', { record: () => {} });
  register('backends', {
    engine: ({ name }: BackendServer) => ({
      load: async () => {
        const engine = plan.engines.get(name);
        if (!engine) throw new Error(`no engine ${name}`);
        return succeed(limitToPolicy(engine.readLoad(), plan.policy));
      },
      cacheEvents: async () => succeed([]),
    }),
  });
}

function createEpoch({ name, zone }: ModuleVmPlan) {
  const self = createMember(name, { region: 'r', availabilityZone: zone });
  return { self, epoch: { epoch: 1, members: [self] } };
}

function createState({ policy, teams, engines }: ModuleVmPlan) {
  const affinity = policy.usesPrefixAffinity ? {} : { affinityTokens: -1 };
  const queue = policy.refusesEarly ? {} : { queueMs: LONG_QUEUE_MS };
  const preset = { ...ORDINARY_PRESET, ...policy.preset, ...affinity, ...queue };
  return {
    teams: new Map(teams.map((team) => [team.name, team])),
    presets: new Map([['ordinary', preset]]),
    presetInForce: 'ordinary',
    models: new Map([[MODEL, { name: MODEL, kvBlockTokens: POOL.blockTokens, bytesPerToken: 4 }]]),
    servers: new Map([...engines].map(([name, { server }]) => [name, server])),
  };
}
