import { ORDINARY_PRESET, registerFake } from '../../harness/module-fakes.js';
import { waitFor } from '../../harness/wait-for.js';
import type { AdmissionRequest } from '../../src/admission/admission.js';
import type { Grant } from '../../src/admission/grant.js';
import type { ConfigurationState } from '../../src/configuration/configuration.js';
import type { BackendServer } from '../../src/domain/backend-server.js';
import { Refusal } from '../../src/domain/refusal.js';
import { Channel } from '../../src/kernel/channel.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { fail, succeed } from '../../src/kernel/outcome.js';
import type { VmListing } from '../../src/infrastructure/vm-list.js';
import { settingsSchema, type Settings } from '../../src/settings/schema.js';
import { createSettingsInput } from './configuration-fixtures.js';

/** A grant that records the tokens of each settlement and each extension. */
export interface FakeGrant extends Grant {
  readonly settled: number[];
  readonly extended: number[];
}

/** Fakes of the services that the modules under test use, and the calls they recorded. */
export interface FakeServices {
  readonly kernel: Kernel;
  readonly settings: Settings;
  readonly withdrawals: Channel<string>;
  readonly reincarnations: Channel<unknown>;
  readonly changes: Channel<ConfigurationState>;
  readonly listings: Channel<VmListing>;
  readonly grants: FakeGrant[];
  readonly admitted: AdmissionRequest[];
  readonly deaths: { server: string; fingerprints: readonly string[] }[];
  /** Number of deaths reported before each admission. */
  readonly deathsAtAdmission: number[];
  readonly metrics: Map<string, number>;
  /** Number of grants that report that they cannot be sent, before the first one that can. */
  unsendable: number;
  /**
   * Renewals that a grant needs before it can be sent; Infinity if no renewal makes it sendable.
   */
  renewals: number;
  extendable: boolean;
  capacityChanges: number;
  state: ConfigurationState;
}

export function createState(servers: readonly BackendServer[], version = 1): ConfigurationState {
  const model = {
    name: 'planner',
    bytesPerToken: 4,
    kvBytesPerToken: 1,
    kvBlockTokens: 16,
    maxOutputTokens: 100,
  };
  return {
    version,
    teams: new Map(),
    keys: new Map(),
    withdrawnKeyIds: new Set(),
    presets: new Map([[ORDINARY_PRESET.name, ORDINARY_PRESET]]),
    presetInForce: ORDINARY_PRESET.name,
    models: new Map([[model.name, model]]),
    routes: new Map(),
    servers: new Map(servers.map((server) => [server.name, server])),
    subjects: new Map(),
  };
}

export function createSettings(): Settings {
  return settingsSchema.parse(
    createSettingsInput({
      vm: { name: 'vm1', region: 'r', availabilityZone: 'a' },
      timeouts: {
        connectMs: 200,
        engineMs: 150,
        prefillMs: 200,
        transferMs: 150,
        betweenTokensMs: 150,
        shutdownMs: 700,
      },
    }),
  );
}

export function createFakeServices(servers: readonly BackendServer[]): FakeServices {
  const fakes: FakeServices = {
    kernel: Kernel.create(),
    settings: createSettings(),
    withdrawals: Channel.create(),
    reincarnations: Channel.create(),
    changes: Channel.create(),
    listings: Channel.create(),
    grants: [],
    admitted: [],
    deaths: [],
    deathsAtAdmission: [],
    metrics: new Map(),
    unsendable: 0,
    renewals: Infinity,
    extendable: true,
    capacityChanges: 0,
    state: createState(servers),
  };
  registerPlatform(fakes);
  registerObservability(fakes);
  registerAdmission(fakes);
  return fakes;
}

function registerPlatform(fakes: FakeServices): void {
  registerFake(fakes.kernel, 'configuration', {
    current: () => fakes.state,
    changes: () => fakes.changes.stream(),
    withdrawals: () => fakes.withdrawals.stream(),
    withdrawn: () => new Set<string>(),
  });
  registerFake(fakes.kernel, 'membership', {
    leaseLive: () => true,
    self: () => ({ vm: 'vm1', incarnation: 'i1' }),
    reincarnations: () => fakes.reincarnations.stream(),
  });
  registerFake(fakes.kernel, 'vm-list', {
    current: () => undefined,
    changes: () => fakes.listings.stream(),
  });
}

function registerObservability({ kernel, metrics }: FakeServices): void {
  registerFake(kernel, 'metrics', {
    increment: (name: string, _tags: object, value = 1) => {
      metrics.set(name, (metrics.get(name) ?? 0) + value);
    },
    gauge: () => {},
    timing: () => {},
  });
  registerFake(kernel, 'traces', {
    startSpan: () => ({ traceparent: '00-1-2-01', end: () => {} }),
  });
  registerFake(kernel, 'decisions', { record: () => {} });
}

function registerAdmission(fakes: FakeServices): void {
  const { kernel } = fakes;
  registerFake(kernel, 'admission', {
    admit: async (request: AdmissionRequest) => {
      fakes.admitted.push(request);
      fakes.deathsAtAdmission.push(fakes.deaths.length);
      const grant = createGrant(fakes.unsendable <= 0, fakes.extendable, fakes.renewals);
      Object.assign(fakes, { unsendable: fakes.unsendable - 1 });
      fakes.grants.push(grant);
      return succeed(grant);
    },
    reportDeath: async (server: string, fingerprints: readonly string[]) => {
      fakes.deaths.push({ server, fingerprints });
    },
    capacityChanged: () => Object.assign(fakes, { capacityChanges: fakes.capacityChanges + 1 }),
  });
}

function createGrant(sendable: boolean, extendable: boolean, renewals: number): FakeGrant {
  const settled: number[] = [];
  let needed = renewals;
  const extended: number[] = [];
  return {
    tokens: 100,
    suspect: false,
    settled,
    extended,
    sendable: () => sendable,
    extend: async (tokens) => {
      extended.push(tokens);
      return extendable ? succeed(undefined) : fail(Refusal.create('rate_exceeded', 'no tokens'));
    },
    async renew() {
      needed -= 1;
      // Each renewal refunds the previous debit in full, since it was not used.
      if (Number.isFinite(renewals)) settled.push(0);
      if (needed <= 0) Object.assign(this, { sendable: () => true });
      return succeed(undefined);
    },
    settle: (tokens) => settled.push(tokens),
  };
}

/** Waits up to 3 s until a condition holds. */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  await waitFor(what, condition, { timeoutMs: 3000, intervalMs: 5 });
}
