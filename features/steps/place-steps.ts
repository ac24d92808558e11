import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { ENGINE, FleetSimulation, type SimulatedVm } from '../../harness/fleet-simulation.js';
import type { Verdict } from '../../src/places/place-asker.js';
import { createCatalogServer } from '../support/relay-fixtures.js';
import {
  PlaceFleet,
  type PlaceLoad,
  type PlaceResult,
  type RankResult,
} from '../support/place-fleet-simulation.js';

interface PlacesWorld {
  granted: PlaceResult;
  own: PlaceResult;
  granting: FleetSimulation;
  verdicts: { readonly vm: SimulatedVm; readonly verdict: Verdict }[];
}

const scenario = world as unknown as PlacesWorld;

const HIGH_RANK = 0;
const LOW_RANK = 2;
const EVENT_MS = 7000;
const CUT_MS = 3000;
const BURST_END_S = 10;

/** Time after the burst in which its requests may still hold places, in seconds. */
const RECOVERY_S = 2;

const EVENTS: Readonly<Record<string, PlaceLoad['events']>> = {
  'the granter is restarted': { [EVENT_MS]: (fleet) => fleet.restart(fleet.findGranter()) },
  'the granter freezes for 4 s': {
    [EVENT_MS]: (fleet) => fleet.freeze(fleet.findGranter(), 4000),
  },
  'the granter is lost': { [EVENT_MS]: (fleet) => fleet.freeze(fleet.findGranter(), Infinity) },
  'all VMs are restarted': { [EVENT_MS]: (fleet) => fleet.vms.forEach((vm) => fleet.restart(vm)) },
  'ten VMs are cut off for 3 s': {
    [EVENT_MS]: (fleet) => fleet.split(10),
    [EVENT_MS + CUT_MS]: (fleet) => fleet.split(0),
  },
  'a VM with much processor joins': { [EVENT_MS]: (fleet) => fleet.addVm() },
  'an engine is lost': { [EVENT_MS]: (fleet) => fleet.removeEngine() },
};

function sum(result: PlaceResult, count: (rank: RankResult) => number): number {
  return Object.values(result.byRank).reduce((total, rank) => total + count(rank), 0);
}

function onTime(result: PlaceResult): number {
  return sum(result, (rank) => rank.onTime) / sum(result, ({ all }) => all);
}

When(
  '{int} VMs place a burst of {float} times the places of {int} engines by own choice and by grants',
  { timeout: 120_000 },
  (vms: number, burst: number, engines: number) => {
    const load = { vms, burst, engines, seed: 1 };
    scenario.own = PlaceFleet.simulate({ ...load, policy: 'own choice' });
    scenario.granted = PlaceFleet.simulate({ ...load, policy: 'granted' });
  },
);

When(
  '{int} VMs place a burst of {float} times the places of {int} engines by grants',
  { timeout: 60_000 },
  (vms: number, burst: number, engines: number) => {
    scenario.granted = PlaceFleet.simulate({ vms, burst, engines, seed: 2, policy: 'granted' });
  },
);

When(
  '{int} VMs place a burst of {float} times the places of {int} engines, with {int} lost and {int} repeated in 100',
  { timeout: 60_000 },
  (vms: number, burst: number, engines: number, lost: number, repeated: number) => {
    const parts = { lost: lost / 100, repeated: repeated / 100 };
    const load = { vms, burst, engines, ...parts, seed: 3, policy: 'granted' } as const;
    scenario.granted = PlaceFleet.simulate(load);
  },
);

When(
  /^(\d+) VMs place ([\d.]+) times the places of (\d+) engines, and at 7 s (.*)$/,
  { timeout: 60_000 },
  (vms: string, burst: string, engines: string, event: string) => {
    const events = EVENTS[event];
    assert.ok(events, event);
    const load = { vms: Number(vms), burst: Number(burst), engines: Number(engines), seed: 4 };
    scenario.granted = PlaceFleet.simulate({ ...load, events, policy: 'granted' });
    scenario.own = PlaceFleet.simulate({ ...load, events, policy: 'own choice' });
  },
);

Then('grants cause at most a twentieth of the refused reservations', () => {
  const { own, granted } = scenario;
  assert.ok(granted.rejected <= own.rejected / 20, `${granted.rejected} of ${own.rejected}`);
});

Then('grants cause fewer refused reservations than own choice', () => {
  const { own, granted } = scenario;
  assert.ok(granted.rejected < own.rejected, `${granted.rejected} of ${own.rejected}`);
});

// Own choice shuffles engines without a seed, so its result varies by some requests.
Then('grants serve at most 1 in 100 requests fewer on time', () => {
  const { own, granted } = scenario;
  assert.ok(onTime(granted) >= onTime(own) - 0.01, `${onTime(granted)} of ${onTime(own)}`);
});

Then('grants serve no fewer requests on time', () => {
  const { own, granted } = scenario;
  assert.ok(onTime(granted) >= onTime(own), `${onTime(granted)} of ${onTime(own)}`);
});

Then('{int} in 100 placed requests of the high rank are on time with grants', (percent: number) => {
  const high = scenario.granted.byRank[HIGH_RANK]!;
  assert.ok(high.onTime >= (percent / 100) * high.all, JSON.stringify(scenario.granted));
});

Then(
  /^the low rank has at least a (tenth|twentieth) of the places with grants$/,
  (part: string) => {
    const { byRank } = scenario.granted;
    const all = sum(scenario.granted, ({ served }) => served);
    const least = part === 'tenth' ? 0.1 : 0.05;
    assert.ok(byRank[LOW_RANK]!.served >= least * all, JSON.stringify(byRank));
  },
);

Then(
  'at most {int} in 100 placed requests are held until their time is over with grants',
  (percent: number) => {
    const { granted } = scenario;
    const [held, all] = [sum(granted, (rank) => rank.held), sum(granted, (rank) => rank.all)];
    assert.ok(held <= (percent / 100) * all, `${held} of ${all}`);
  },
);

Then('at least {int} in 100 places are used in the burst with grants', (percent: number) => {
  assert.ok(scenario.granted.used >= percent / 100, String(scenario.granted.used));
});

Then('at most {int} in 100 reservations for places are refused', (percent: number) => {
  const { rejected, reservations } = scenario.granted;
  assert.ok(rejected <= (percent / 100) * reservations, `${rejected} of ${reservations}`);
});

Then('{int} in 100 placed requests that arrive after the burst are on time', (percent: number) => {
  const seconds = scenario.granted.bySecond.slice(BURST_END_S + RECOVERY_S);
  assert.ok(seconds.length > 0);
  seconds.forEach((part) => assert.ok(part >= percent / 100, String(seconds)));
});

function askForPlace(vm: SimulatedVm): void {
  const nowMs = scenario.granting.clock.monotonicMs();
  const times = { startByMs: nowMs + 600, giveUpMs: nowMs + 3400 };
  const request = { team: 'a', kvTokens: 5000, priority: 1, insideRate: true, ...times };
  const settle = (verdict: Verdict) => scenario.verdicts.push({ vm, verdict });
  vm.places.askerOf('pool').ask({ ...request, excluded: new Set() }, settle, nowMs);
  vm.places.flush();
}

function listGrants() {
  return scenario.verdicts.flatMap(({ vm, verdict }) =>
    verdict.kind === 'granted' ? [{ vm, ...verdict }] : [],
  );
}

Given(
  'a fleet of {int} VMs that grants the places of {int} engines',
  { timeout: 30_000 },
  async (vms: number, engines: number) => {
    scenario.granting = await FleetSimulation.create(vms);
    scenario.verdicts = [];
    const servers = Array.from({ length: engines }, (_, index) =>
      createCatalogServer({ id: `engine-${index}`, slots: ENGINE.slots, stage: 'decode' }),
    );
    for (const vm of scenario.granting.vms) {
      vm.catalog.replace(servers, 0);
      await vm.places.start();
    }
    await scenario.granting.advance(5000);
  },
);

When('each VM of the granting fleet asks for {int} places', async (count: number) => {
  scenario.granting.vms.forEach((vm) => Array.from({ length: count }, () => askForPlace(vm)));
  await scenario.granting.advance(200);
});

Then('{int} places are granted, and no engine has more than it takes', (count: number) => {
  const grants = listGrants();
  assert.equal(grants.length, count);
  const byEngine = new Map<string, number>();
  grants.forEach(({ server }) => byEngine.set(server, (byEngine.get(server) ?? 0) + 1));
  assert.ok([...byEngine.values()].every((used) => used <= ENGINE.slots));
  assert.equal(new Set(grants.map(({ by }) => by)).size, 1);
});

When('the VM that grants them dies, and each other VM asks for 1 place', () => {
  const { by } = listGrants()[0]!;
  Object.assign(
    scenario.granting.vms.find(({ name }) => name === by)!,
    { alive: false },
  );
  scenario.verdicts = listGrants().map(({ vm, ...verdict }) => ({ vm, verdict }));
  scenario.granting.liveVms.forEach((vm) => askForPlace(vm));
});

Then('each of these requests has an answer within {int} ms', async (ms: number) => {
  await scenario.granting.advance(ms);
  const waiting = scenario.granting.liveVms.flatMap((vm) => vm.places.askerOf('pool').requests);
  assert.equal(waiting.length, 0);
  const unserved = scenario.verdicts.filter(({ verdict }) => verdict.kind === 'unserved');
  assert.ok(unserved.length >= scenario.granting.liveVms.length, String(unserved.length));
});

When(
  'the granting fleet has known the loss for 4 s, and a granted place is given back',
  async () => {
    await scenario.granting.advance(4000);
    const grant = listGrants().find(({ vm, by }) => vm.alive && vm.name !== by)!;
    grant.vm.places.askerOf('pool').release(grant.id);
    grant.vm.places.flush();
    await scenario.granting.advance(100);
  },
);

Then('a VM that asks then gets its place from another granter', async () => {
  const { by } = listGrants()[0]!;
  askForPlace(scenario.granting.liveVms[1]!);
  await scenario.granting.advance(200);
  const last = scenario.verdicts.at(-1)!.verdict;
  assert.ok(last.kind === 'granted' && last.by !== by, JSON.stringify(last));
});
