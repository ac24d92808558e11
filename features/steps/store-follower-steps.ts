import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { Evacuations, type EvacuationReport } from '../../src/relay/evacuations.js';
import { computeFence } from '../../src/relay/command-tenure.js';
import { StoreFollowerFleet } from '../support/store-follower-fleet.js';

const scenario = world as unknown as { followers?: StoreFollowerFleet; view?: Evacuations };

/** The simulation of 80 VMs may take longer than real time on a busy machine. */
const SIMULATION = { timeout: 180_000 } as const;

function followersOf(): StoreFollowerFleet {
  assert.ok(scenario.followers);
  return scenario.followers;
}

After(async () => {
  await Promise.all((scenario.followers?.vms ?? []).map(({ follower }) => follower.stop()));
});

Given('{int} store followers that exchange digests', SIMULATION, async (count: number) => {
  scenario.followers = await StoreFollowerFleet.create(count);
});

When('{int} ms pass for the store followers', SIMULATION, async (ms: number) => {
  await followersOf().advance(ms);
});

When('the calls to the store are counted from now on', () => {
  followersOf().resetCalls();
});

When('the store gets configuration {int} and a server that is leaving', (version: number) => {
  followersOf().change(version);
});

When('the store refuses the VMs that read it', () => {
  followersOf().refuseReaders();
});

When(
  /^(three store readers|every second follower|all followers of a zone) are killed$/,
  (which: string) => {
    const fleet = followersOf();
    if (which === 'three store readers') fleet.killReaders();
    else if (which === 'every second follower') fleet.killHalf();
    else fleet.killZone('zone-0');
  },
);

When('the store compacts its history and is unavailable', () => {
  followersOf().compact();
});

When(/^the store gets a (second|third) server$/, (place: string) => {
  followersOf().addServer(place === 'second' ? 'b' : 'c');
});

When('the second server is removed from the store', () => {
  followersOf().removeServer();
});

When(/^the store is (unavailable|available) for the followers$/, (state: string) => {
  followersOf().refuseAll(state === 'unavailable');
});

Then(
  'every store follower has configuration {int} and does not use the leaving server',
  (version: number) => {
    const { vms } = followersOf();
    vms.forEach(({ name, relay }) => assert.equal(relay.configuration?.version, version, name));
    assert.equal(countUsers('a'), 0);
  },
);

When("the store gets the evacuation of the followers' zone", () => {
  followersOf().evacuate('sando', true);
});

When("the evacuation of the followers' zone is removed from the store", () => {
  followersOf().evacuate('sando', false);
});

Then(/^(no|every) store follower has usable servers$/, (which: string) => {
  assert.equal(countUsers('a'), which === 'no' ? 0 : followersOf().vms.length);
});

function createReport(era: number, offset: number, text: string): EvacuationReport {
  const match = /^(set at|removed) (\d+)\/(\d+)$/.exec(text);
  if (!match) return { era, offset, zones: [] };
  const position = { era: Number(match[2]), offset: Number(match[3]) };
  return { era, offset, zones: [{ zone: 'z', evacuated: match[1] === 'set at', ...position }] };
}

Given(
  /^a view of evacuations up to (\d+) and (-?\d+) with the record (.+)$/,
  (era: string, offset: string, record: string) => {
    scenario.view = Evacuations.create();
    scenario.view.merge(createReport(Number(era), Number(offset), record));
  },
);

When(
  /^the view is merged with one up to (\d+) and (-?\d+) with the record (.+)$/,
  (era: string, offset: string, record: string) => {
    scenario.view!.merge(createReport(Number(era), Number(offset), record));
  },
);

Then(/^the zone is (evacuated|in use) in the merged view$/, (state: string) => {
  assert.equal(scenario.view!.has('z'), state === 'evacuated');
});

When('a copy of the followed store is taken', () => {
  followersOf().takeCopy();
});

When('the followed store comes back from its copy', () => {
  followersOf().rollBack();
});

When('the followed store gets {int} heartbeats', (heartbeats: number) => {
  followersOf().writeHeartbeats(heartbeats);
});

Then('every store follower uses the second server for {int} ms', SIMULATION, async (ms: number) => {
  for (let passed = 0; passed < ms; passed += 100) {
    await followersOf().advance(100);
    assert.equal(countUsers('b'), followersOf().vms.length, `after ${passed} ms`);
  }
});

Then('no store follower uses the second server for {int} ms', SIMULATION, async (ms: number) => {
  for (let passed = 0; passed < ms; passed += 100) {
    await followersOf().advance(100);
    assert.equal(countUsers('b'), 0, `after ${passed} ms`);
  }
});

Then('every store follower uses the second server', () => {
  assert.equal(countUsers('b'), followersOf().vms.length);
});

Then('the followed store has the registration of every follower', () => {
  const { vms, registered } = followersOf();
  const missing = vms.map(({ name }) => name).filter((name) => !registered.has(name));
  assert.deepEqual(missing, []);
});

Then(
  'a store claim at era {int} and offset {int} has a higher fencing number than one at era {int} and offset {int}',
  (era: number, offset: number, earlierEra: number, earlierOffset: number) => {
    const earlier = computeFence({ era: earlierEra, offset: earlierOffset });
    assert.ok(computeFence({ era, offset }) > earlier);
  },
);

function countUsers(server: string): number {
  const { vms, clock } = followersOf();
  return vms.filter(({ relay }) =>
    relay.catalog.usable('pool', clock.monotonicMs()).some(({ id }) => id === server),
  ).length;
}

Then('no store follower uses the second server', () => {
  const { vms, clock } = followersOf();
  const using = vms.filter(({ relay }) =>
    relay.catalog.usable('pool', clock.monotonicMs()).some(({ id }) => id === 'b'),
  );
  assert.deepEqual(
    using.map(({ name }) => name),
    [],
  );
});

Then('the store has got at most {int} calls', (most: number) => {
  const calls = followersOf().vms.reduce((sum, vm) => sum + vm.calls, 0);
  assert.ok(calls <= most, `${calls} calls`);
});

Then(
  'every store follower has configuration {int} and knows that the server is leaving',
  (version: number) => {
    const behind = followersOf()
      .liveVms.filter(
        ({ relay }) =>
          relay.configuration?.version !== version || relay.catalog.find('a')?.leaving !== true,
      )
      .map(({ name, relay }) => `${name} ${relay.configuration?.version}`);
    assert.deepEqual(behind, []);
  },
);

Then('every store follower stays ready for {int} ms', SIMULATION, async (ms: number) => {
  for (let passed = 0; passed < ms; passed += 100) {
    await followersOf().advance(100);
    const unready = followersOf().vms.filter(({ follower }) => !follower.ready);
    assert.deepEqual(
      unready.map(({ name }) => name),
      [],
      `after ${passed} ms`,
    );
  }
});
