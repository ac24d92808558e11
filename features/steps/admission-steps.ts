import assert from 'node:assert/strict';

import { After, Given, Then, When, type World, world } from '@cucumber/cucumber';

import type { Team } from '../../src/domain/team.js';
import {
  AdmissionFleet,
  type FleetResult,
  type FleetVm,
  type PeerFault,
} from '../support/admission-fleet.js';
import { generateLoad, createTeam } from '../support/admission-load.js';

interface AdmissionWorld extends World {
  fleet: AdmissionFleet | undefined;
  result: FleetResult;
  teams: Team[];
  limitsChangedMs: number;
  loadMs: number;
  startedMs: number;
  sends: LateSend[];
}

/** A request that is sent some time after its debit. */
interface LateSend {
  readonly sent: boolean;
  readonly tookMs: number;
  readonly renewals: number;
}

/** Time for which requests arrive that are sent late, in seconds. */
const LATE_SEND_SECONDS = 3;

const scenario = world as unknown as AdmissionWorld;

After(async () => {
  await scenario.fleet?.stop();
});

async function requestAndWait(vm: FleetVm, team: string, tokens: number) {
  const fleet = scenario.fleet!;
  let ended = false;
  const asked = fleet.ask(vm, team, tokens, { model: 'planner', fingerprint: 'probe' });
  void asked.then(() => {
    ended = true;
  });
  await fleet.flushTasks();
  for (let step = 0; !ended && step < 2000; step += 1) await fleet.advance(1, 1);
  scenario.result = await asked;
}

/** Sends a request some time after its debit, and renews the debit while it is too old. */
async function sendLate(vm: FleetVm, team: string, tokens: number, lateMs: number): Promise<void> {
  const fleet = scenario.fleet!;
  const result = await fleet.ask(vm, team, tokens);
  const { grant, askedMs } = result;
  let renewals = 0;
  Object.assign(result, { sendable: false });
  if (grant) {
    await fleet.clock.sleep(lateMs);
    while (!grant.sendable() && renewals < 10) {
      renewals += 1;
      await grant.renew();
    }
    const sendable = grant.sendable();
    fleet.results.push({ ...result, endedMs: fleet.clock.monotonicMs(), sendable });
    grant.settle(tokens);
  }
  const sent = fleet.results.at(-1)!.sendable;
  scenario.sends.push({ sent, tookMs: fleet.clock.monotonicMs() - askedMs, renewals });
}

Given(
  'an admission fleet of {int} VMs with the team {string} at rate {int} and burst {int}',
  async (vms: number, name: string, rate: number, burst: number) => {
    scenario.teams = [createTeam(name, rate, burst)];
    scenario.fleet = await AdmissionFleet.create(vms, scenario.teams);
  },
);

Given(
  'an admission fleet of {int} VMs with {int} teams at rate {int} and burst {int}',
  async (vms: number, teams: number, rate: number, burst: number) => {
    scenario.teams = Array.from({ length: teams }, (_, n) => createTeam(`team-${n}`, rate, burst));
    scenario.fleet = await AdmissionFleet.create(vms, scenario.teams);
  },
);

Given('admission meets the state {string}', async (state: string) => {
  const fleet = scenario.fleet!;
  const vm = fleet.findByPlace('oval-crew', 2);
  switch (state) {
    case 'a lapsed lease':
      vm.lease = false;
      break;
    case 'maintenance':
      fleet.configure({ preset: { maintenance: true } });
      break;
    case 'a quarantined fingerprint':
      vm.admission.reportDeath('planner-1', ['probe', 'other']);
      await fleet.advance(4000, 100);
      vm.admission.reportDeath('planner-1', ['probe']);
      break;
    case 'no capacity':
      fleet.headroom = 0;
      break;
    case 'an empty bucket':
      await requestAndWait(fleet.findByPlace('oval-crew', 0), 'oval-crew', 1750);
      assert.equal(scenario.result.code, 'admitted');
      break;
    case 'a removed team':
      fleet.configure({ removed: 'oval-crew' });
      break;
    case 'both homes silent':
      fleet.findByPlace('oval-crew', 0).fault = 'silent';
      fleet.findByPlace('oval-crew', 1).fault = 'silent';
      break;
    default:
      assert.equal(state, 'a prompt beyond the burst');
  }
});

When(
  'admission at the {word} home of {string} has the fault {string}',
  (place: string, team: string, fault: string) => {
    const vm = scenario.fleet!.findByPlace(team, place === 'first' ? 0 : 1);
    if (fault !== 'none') vm.fault = fault as PeerFault;
  },
);

When(
  'admission is asked on the VM at place {int} for {int} tokens of {string}',
  async (place: number, tokens: number, team: string) => {
    await requestAndWait(scenario.fleet!.findByPlace(team, place), team, tokens);
  },
);

When(
  'admission removes the suspended first home of {string} and the VM at place {int} does not learn of it',
  async (team: string, place: number) => {
    const fleet = scenario.fleet!;
    const [home, late] = [fleet.findByPlace(team, 0), fleet.findByPlace(team, place)];
    home.fault = 'silent';
    fleet.fence(home);
    fleet.applyLatestEpoch(fleet.vms.filter((vm) => vm !== home && vm !== late));
    // The successor creates its share, which refills from then on, at its first debit.
    for (const vm of fleet.vms) await requestAndWait(vm, team, 1);
    await fleet.advance(5000, 50);
    home.fault = undefined;
  },
);

When('admission time passes for {int} ms', async (ms: number) => {
  await scenario.fleet!.advance(ms);
});

Then('admission answers {string} within {int} ms', (code: string, ms: number) => {
  const { result, fleet } = scenario;
  assert.equal(result.code, code);
  const elapsedMs = result.endedMs - result.askedMs;
  assert.ok(elapsedMs <= ms + 1, `answered after ${elapsedMs} ms`);
  assert.equal(result.sendable, code === 'admitted');
  if (result.refusal) assert.equal(result.refusal.run, 'not run');
  if (code === 'rate_exceeded') assert.ok(result.refusal!.retryAfterMs! > 0);
  const expected = code === 'admitted' ? 'admitted' : 'refused';
  assert.equal(fleet!.decisions.at(-1)!.choice, expected);
});

Then(
  'admission homes have granted {int} tokens of {string} in all',
  async (tokens: number, team: string) => {
    const fleet = scenario.fleet!;
    // Drains the homes right away. The tokens that they still grant show how many they have
    // charged.
    const usable = 1750;
    fleet.vms.forEach((vm) => Object.assign(vm, { fault: undefined }));
    await fleet.advance(1);
    const since = fleet.clock.monotonicMs();
    const homes = [fleet.findByPlace(team, 0), fleet.findByPlace(team, 1)];
    const { vm, incarnation } = fleet.findByPlace(team, 2).member;
    let left = 0;
    for (const [index, home] of homes.entries()) {
      const call = { sender: { vm, incarnation }, team, tokens: 5000n, debitId: `drain-${index}` };
      const debit = home.handlers.debit as unknown as (
        call: object,
      ) => Promise<{ granted: bigint }>;
      left += Number((await debit(call)).granted);
    }
    const refilled = since - scenario.result.askedMs;
    const charged = usable - left;
    assert.ok(charged <= tokens + 1 && charged >= tokens - refilled - 2, `charged ${charged}`);
  },
);

Then(
  'the admission grant can be sent after {int} ms but not after {int} ms',
  async (before: number, after: number) => {
    const { fleet, result } = scenario;
    await fleet!.advance(result.askedMs + before - fleet!.clock.monotonicMs(), 1);
    assert.equal(result.grant!.sendable(), true);
    await fleet!.advance(after - before, 1);
    assert.equal(result.grant!.sendable(), false);
  },
);

When(
  'admission on the VM at place {int} gets {int} requests a second for {int} tokens of {string} and can send each {int} ms after its debit',
  async (place: number, perSecond: number, tokens: number, team: string, lateMs: number) => {
    const fleet = scenario.fleet!;
    const vm = fleet.findByPlace(team, place);
    scenario.sends = [];
    for (let sent = 0; sent < LATE_SEND_SECONDS * perSecond; sent += 1) {
      void sendLate(vm, team, tokens, lateMs);
      await fleet.advance(1000 / perSecond);
    }
    await fleet.advance(2000);
  },
);

Then(
  'admission sends all {int} requests within {int} ms and {int} renewal each',
  (count: number, ms: number, most: number) => {
    const { sends } = scenario;
    assert.equal(sends.filter(({ sent }) => sent).length, count);
    const tooSlow = sends.filter(({ tookMs, renewals }) => tookMs > ms || renewals > most);
    assert.deepEqual(tooSlow, []);
  },
);

Then('the admission grant cannot be sent once the lease has lapsed', () => {
  assert.equal(scenario.result.grant!.sendable(), true);
  scenario.fleet!.findByPlace('oval-crew', 2).lease = false;
  assert.equal(scenario.result.grant!.sendable(), false);
});

When(
  'admission receives {float} times the rate of {string} on the VMs at places {string} for {int} ms',
  async (times: number, team: string, places: string, ms: number) => {
    const fleet = scenario.fleet!;
    const vms = places.split(', ').map((place) => fleet.findByPlace(team, Number(place)));
    const perSecond = scenario.teams[0]!.rate * times;
    scenario.startedMs = fleet.clock.monotonicMs();
    fleet.debitCalls.clear();
    await generateLoad(fleet, [{ team, perSecond }], (index) => vms[index % vms.length]!, ms);
    scenario.loadMs = ms;
  },
);

When('calls between admission VMs take {int} ms each way', (ms: number) => {
  Object.assign(scenario.fleet!, { callMs: ms });
});

When(
  'admission applies the rate {int} and burst {int} to {string}',
  (rate: number, burst: number, name: string) => {
    scenario.teams = [createTeam(name, rate, burst)];
    scenario.limitsChangedMs = scenario.fleet!.clock.monotonicMs();
    scenario.fleet!.configure({ team: scenario.teams[0]! });
  },
);

Then('admission of {string} stays within burst + rate × window', (_team: string) => {
  assert.deepEqual(scenario.fleet!.findExcess(scenario.teams[0]!), []);
});

Then(
  'admission of {string} stays within burst + rate × window since the change',
  (_team: string) => {
    const { results } = scenario.fleet!;
    assert.ok(
      results.some((result) => result.endedMs > scenario.limitsChangedMs && result.sendable),
    );
    assert.deepEqual(
      scenario.fleet!.findExcess(scenario.teams[0]!, scenario.limitsChangedMs + 1),
      [],
    );
  },
);

Then('admission of every team stays within burst + rate × window', () => {
  scenario.teams.forEach((team) => assert.deepEqual(scenario.fleet!.findExcess(team), []));
});

Then(
  'admission of {string} reaches {int} percent of rate × time',
  (team: string, percent: number) => {
    const sent = scenario.fleet!.results.filter(
      (result) => result.team === team && result.sendable,
    );
    const tokens = sent.reduce((sum, result) => sum + result.tokens, 0);
    const expected = (scenario.teams[0]!.rate * scenario.loadMs) / 1000;
    process.stdout.write(`admission: admitted ${tokens} tokens of ${expected} + burst\n`);
    assert.ok(tokens >= (expected * percent) / 100, `admitted ${tokens} tokens`);
  },
);

Then('admission made at most {int} debit calls a second for each VM and home', (most: number) => {
  const calls = Math.max(...scenario.fleet!.debitCalls.values());
  const perSecond = calls / (scenario.loadMs / 1000);
  process.stdout.write(`admission: ${calls} debit calls by one VM at one home\n`);
  assert.ok(perSecond <= most, `${perSecond} calls a second`);
});

When(
  'admission capacity is {int} requests of {int} ms a VM and one team sends {int} times its rate, the others {int} percent, for {int} ms',
  async (capacity: number, runMs: number, times: number, percent: number, ms: number) => {
    const fleet = scenario.fleet!;
    fleet.headroom = capacity;
    const loads = scenario.teams.map(({ name, rate }, index) => ({
      team: name,
      perSecond: index === 0 ? rate * times : (rate * percent) / 100,
    }));
    const choose = (index: number) => fleet.vms[index % fleet.vms.length]!;
    await generateLoad(fleet, loads, choose, ms, { runMs });
    await fleet.advance(1200);
  },
);

Then("admission serves at least {int} percent of the other teams' requests", (percent: number) => {
  scenario.teams.slice(1).forEach(({ name }) => {
    const asked = scenario.fleet!.results.filter((result) => result.team === name);
    const admitted = asked.filter((result) => result.sendable);
    process.stdout.write(`admission: ${name} ${admitted.length} of ${asked.length}\n`);
    assert.ok(asked.length > 0 && admitted.length >= (asked.length * percent) / 100);
  });
});

When(
  'admission receives {int} percent of the rate of {int} teams for {int} ms while VMs join and die',
  { timeout: 60_000 },
  async (percent: number, _teams: number, ms: number) => {
    const fleet = scenario.fleet!;
    const loads = scenario.teams.map(({ name, rate }) => ({
      team: name,
      perSecond: (rate * percent) / 100,
    }));
    let joined = 6;
    const changeFleet = (passedMs: number) => {
      if (passedMs % 4000 === 1000) {
        joined += 1;
        void fleet.join(joined);
      }
      if (passedMs % 4000 === 3000) void fleet.remove(fleet.vms[0]!);
      if (passedMs % 1000 === 100) fleet.applyLatestEpoch();
    };
    await generateLoad(fleet, loads, (index) => fleet.vms[index % fleet.vms.length]!, ms, {
      onStep: changeFleet,
    });
    await fleet.advance(1200);
  },
);

Then('admission refuses at most {int} of those requests', (most: number) => {
  // Requests that wait on a VM when it dies are refused as draining, and the caller retries them.
  const { results } = scenario.fleet!;
  const refused = results.filter((result) => !['admitted', 'draining'].includes(result.code));
  const codes = [...new Set(refused.map((result) => result.code))].join(' ');
  process.stdout.write(`admission: refused ${refused.length} of ${results.length} ${codes}\n`);
  assert.ok(refused.length <= most, `refused ${refused.length} of ${results.length}: ${codes}`);
});

Then(
  'admission at {int} prefill tokens a ms admits requests of {string} tokens in the order {string}',
  async (prefillTokensPerMs: number, asked: string, expected: string) => {
    const fleet = scenario.fleet!;
    Object.assign(fleet, { prefillTokensPerMs, headroom: 0 });
    const vm = fleet.findByPlace('oval-crew', 0);
    const admitted: number[] = [];
    const requests = asked.split(', ').map(async (tokens) => {
      const options = { model: 'planner', runMs: 20 };
      const { code } = await fleet.ask(vm, 'oval-crew', Number(tokens), options);
      if (code === 'admitted') admitted.push(Number(tokens));
    });
    await fleet.advance(4);
    fleet.headroom = 1;
    await fleet.advance(200);
    await Promise.all(requests);
    assert.equal(admitted.join(', '), expected);
  },
);

When('the admission grant is settled with {int} used tokens', async (used: number) => {
  scenario.result.grant!.settle(used);
  await scenario.fleet!.advance(4, 1);
});

When('every admission VM takes a new incarnation', async () => {
  scenario.fleet!.vms.forEach((vm) => vm.reincarnations.push(vm.member));
  await scenario.fleet!.flushTasks();
});

Then(
  'the admission grant can be extended by {int} tokens but not by {int}',
  async (few: number, many: number) => {
    const extended = scenario.result.grant!.extend(few);
    await scenario.fleet!.advance(20);
    assert.equal((await extended).kind, 'ok');
    assert.equal(scenario.result.grant!.tokens, scenario.result.tokens + few);
    const refused = scenario.result.grant!.extend(many);
    await scenario.fleet!.advance(1200);
    const outcome = await refused;
    assert.equal(outcome.kind === 'failed' && outcome.failure.code, 'rate_exceeded');
  },
);

Then('admission has waited at least {int} ms', (ms: number) => {
  assert.ok(scenario.result.endedMs - scenario.result.askedMs >= ms);
});

Then(
  'admission reports the worst-served team with a share of at most {float}',
  async (share: number) => {
    await scenario.fleet!.advance(1000);
    const reported = scenario.fleet!.gauges.get('admission.worst_served');
    assert.ok(reported !== undefined && reported <= share, `reported ${reported}`);
  },
);
