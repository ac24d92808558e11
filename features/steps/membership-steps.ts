import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, setDefaultTimeout, Then, When, world } from '@cucumber/cucumber';

import type { Incarnation } from '../../src/domain/vm.js';
import { parseMemberRecord } from '../../src/membership/member-record.js';
import { type MemberDaemon, MemberFleet } from '../support/membership/member-fleet.js';
import { sleepFast, waitUntil } from '../support/membership/waits.js';

interface MembershipWorld {
  fleet: MemberFleet | undefined;
  first: Map<string, Incarnation>;
  watch: NodeJS.Timeout;
  violations: Set<string>;
}

const scenario = world as unknown as MembershipWorld;

setDefaultTimeout(60_000);

/**
 * Time between the starts of a fleet in real time, in milliseconds. Members that start together look
 * for suspects right after each round, when a heartbeat that is late is not noticed.
 */
const START_SPREAD_MS = 130;

/** Looks for a VM that believes in a lease that the log has ended; this must never be seen. */
function findViolations({ daemons, log }: MemberFleet): string[] {
  const removed = new Set(
    log.listParsed().flatMap((record) => (record.kind === 'removed' ? [record.incarnation] : [])),
  );
  return [...daemons.values()]
    .filter(({ membership }) => membership.leaseLive())
    .map(({ membership }) => membership.self().incarnation)
    .filter((incarnation) => removed.has(incarnation));
}

async function startFleet(count: number, snapshotMs?: number, speed?: number) {
  const fleet = MemberFleet.create(speed);
  if (snapshotMs) fleet.snapshotMs = snapshotMs;
  const { violations, first } = Object.assign(scenario, {
    fleet,
    first: new Map<string, Incarnation>(),
    violations: new Set<string>(),
    watch: setInterval(() => findViolations(fleet).forEach((each) => violations.add(each)), 5),
  });
  const started = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      if (speed) await delay(index * START_SPREAD_MS);
      return fleet.start(index);
    }),
  );
  started.forEach(({ name, membership }) => first.set(name, membership.self()));
  await waitUntil(
    'all members are joined and have leases',
    () => started.every(({ membership }) => isSettled(membership, count) && membership.leaseLive()),
    20_000,
  );
}

function isSettled(membership: MemberDaemon['membership'], count: number): boolean {
  return membership.joined() && membership.current().members.length === count;
}

function find(index: number | string): MemberDaemon {
  const daemon = scenario.fleet?.daemons.get(`vm-${index}`);
  assert.ok(daemon, `no daemon on VM ${index}`);
  return daemon;
}

function findFleet({ fleet }: MembershipWorld): MemberFleet {
  assert.ok(fleet, 'no member fleet');
  return fleet;
}

function findFirst(index: number): Incarnation {
  const first = scenario.first.get(`vm-${index}`);
  assert.ok(first, `no first incarnation of VM ${index}`);
  return first;
}

/** Names what ended the membership of an incarnation in the log. */
function findEvidence(fleet: MemberFleet, { vm, incarnation }: Incarnation): string | undefined {
  const records = fleet.log.listParsed();
  const removal = records.find(
    (record) => record.kind === 'removed' && record.incarnation === incarnation,
  );
  if (removal?.kind === 'removed') return removal.evidence;
  const replaced = records.some(
    (record) =>
      record.kind === 'joined' &&
      record.member.vm === vm &&
      record.member.incarnation !== incarnation,
  );
  return replaced ? 'replaced' : undefined;
}

After(async () => {
  // Other features keep a fleet of another kind under this name.
  if (!scenario.violations || !scenario.fleet) return;
  clearInterval(scenario.watch);
  await scenario.fleet.stop();
  // Guards against a share that is spent twice: a lease that outlives its removal.
  const records = scenario.fleet.log.listParsed().map((record) => JSON.stringify(record));
  const trace = [...scenario.violations].map((each) =>
    records.filter((text) => text.includes(each)),
  );
  assert.deepEqual(
    [...scenario.violations],
    [],
    `removed with a live lease: ${trace.flat().join(' ')}`,
  );
});

Given('a member fleet of {int} VMs', async (count: number) => {
  await startFleet(count);
});

Given(
  'a member fleet of {int} VMs that snapshots every {int} s',
  async (count: number, seconds: number) => {
    await startFleet(count, seconds * 1000);
  },
);

Given('a member fleet of {int} VMs in real time behind relays', async (count: number) => {
  await startFleet(count, undefined, 1);
});

When('member {int} dies', async (index: number) => {
  await find(index).stop();
  findFleet(scenario).daemons.delete(`vm-${index}`);
});

When('member {int} starts', async (index: number) => {
  await findFleet(scenario).start(index);
});

When('member {int} starts again', async (index: number) => {
  await findFleet(scenario).start(index);
});

When('member {int} restarts with a new incarnation', async (index: number) => {
  await find(index).stop();
  await findFleet(scenario).start(index);
});

When('member {int} is paused', (index: number) => {
  find(index).clock.pause(false);
});

When('member {int} is suspended with its clock', (index: number) => {
  find(index).clock.pause(true);
});

When('member {int} wakes without a lease', (index: number) => {
  const { clock, membership } = find(index);
  clock.resume();
  assert.equal(membership.leaseLive(), false);
});

When('member {int} is cut off from the rest', (index: number) => {
  find(index).setCut(true);
});

When('member {int} is connected again', (index: number) => {
  assert.equal(find(index).membership.leaseLive(), false);
  find(index).setCut(false);
});

When('member {int} leaves', async (index: number) => {
  const { membership } = find(index);
  const left = membership.leave();
  assert.equal(membership.leaseLive(), false);
  await left;
});

When('member {int} drains', async (index: number) => {
  await find(index).membership.drain();
});

When(
  'member {int} folds configuration {int} and withdraws the key {string}',
  (index: number, version: number, keyId: string) => {
    const { configuration } = find(index);
    configuration.version = version;
    configuration.keys.add(keyId);
  },
);

When('the membership log goes out', () => {
  findFleet(scenario).log.out = true;
});

When('the membership log comes back', () => {
  findFleet(scenario).log.out = false;
});

When('the membership log shows an end that is {int} records older', (count: number) => {
  findFleet(scenario).log.lag = count;
});

/** The log keeps records for a day, so that every running member has read what it forgets. */
async function forgetBefore(offset: number): Promise<void> {
  const { log } = findFleet(scenario);
  await waitUntil('all members to read the log', () => log.isRead(offset), 5000);
  log.earliest = offset;
}

When(
  'the membership log has a snapshot within {int} s and forgets the records before it',
  async (seconds: number) => {
    const { log } = findFleet(scenario);
    const findSnapshot = () => log.listParsed().findLastIndex(({ kind }) => kind === 'snapshot');
    await waitUntil('a snapshot', () => findSnapshot() >= 0, seconds * 1000);
    await forgetBefore(findSnapshot() + 1);
  },
);

When(
  'two snapshots of the same state reach the log, which forgets all before the second',
  async () => {
    const { log } = findFleet(scenario);
    const snapshot = log.records.findLast(
      ({ data }) => parseMemberRecord(data)?.kind === 'snapshot',
    );
    assert.ok(snapshot);
    [1, 2].forEach(() => log.records.push({ ...snapshot, offset: log.records.length + 1 }));
    await forgetBefore(log.records.length);
  },
);

When('the VM list drops member {int}', async (index: number) => {
  const { listing } = findFleet(scenario);
  // The list is read once a second; it must have shown the VM before.
  await sleepFast(2000);
  listing.vms = listing.vms.filter(({ name }) => name !== `vm-${index}`);
});

Then(
  'the log removes the first incarnation of member {int} as {string} within {int} s',
  async (index: number, evidence: string, seconds: number) => {
    const fleet = findFleet(scenario);
    const first = findFirst(index);
    const isRemoved = () => findEvidence(fleet, first) === evidence;
    await waitUntil(`${first.vm} is ${evidence}`, isRemoved, seconds * 1000);
  },
);

Then('the log does not remove member {int}', (index: number) => {
  assert.equal(findEvidence(findFleet(scenario), findFirst(index)), undefined);
});

Then(
  'the members {string} keep their leases for {int} s',
  async (indices: string, seconds: number) => {
    const daemons = indices.split(',').map((index) => find(index));
    const isLive = () => daemons.every(({ membership }) => membership.leaseLive());
    await waitUntil('the leases are live', isLive, 10_000);
    for (let sample = 0; sample < seconds * 20; sample += 1) {
      daemons.forEach(({ name, membership }) => assert.ok(membership.leaseLive(), name));
      await sleepFast(50);
    }
  },
);

Then('member {int} loses its lease within {int} s', async (index: number, seconds: number) => {
  const { membership } = find(index);
  await waitUntil('the lease has lapsed', () => !membership.leaseLive(), seconds * 1000);
  assert.equal(findEvidence(findFleet(scenario), findFirst(index)), undefined);
});

Then(
  'member {int} is a member again within {int} s with another incarnation',
  async (index: number, seconds: number) => {
    const { membership } = find(index);
    const isBack = () => membership.joined() && membership.leaseLive();
    await waitUntil('it has joined with a lease', isBack, seconds * 1000);
    const first = findFirst(index);
    assert.notEqual(membership.self().incarnation, first.incarnation);
  },
);

Then(
  'members know that the first incarnation of member {int} is gone within {int} s',
  async (index: number, seconds: number) => {
    const first = findFirst(index);
    const asked = [...findFleet(scenario).daemons.values()].filter(({ name }) => name !== first.vm);
    const areSure = async () => {
      const answers = await Promise.all(asked.map(({ membership }) => membership.isGone(first)));
      return answers.every(Boolean);
    };
    await waitUntil('all know that it is gone', areSure, seconds * 1000);
    const live = asked[0]?.membership.self();
    assert.ok(live);
    const wrong = await Promise.all(asked.map(({ membership }) => membership.isGone(live)));
    assert.ok(!wrong.some(Boolean), 'a live member is taken for gone');
  },
);

Then(
  'member {int} lists {int} members within {int} s and is not one of them',
  async (index: number, count: number, seconds: number) => {
    const { membership } = find(index);
    const hasList = () => membership.current().members.length === count;
    await waitUntil('it has the list', hasList, seconds * 1000);
    assert.equal(membership.joined(), false);
    assert.equal(membership.leaseLive(), false);
  },
);

Then('all members agree on {int} members', async (count) => {
  const daemons = [...findFleet(scenario).daemons.values()];
  const agree = () => daemons.every(({ membership }) => isSettled(membership, count));
  await waitUntil(`all list ${count} members`, agree, 20_000);
  const lists = daemons.map(({ membership }) => JSON.stringify(membership.current()));
  assert.equal(new Set(lists).size, 1);
});

Then(
  'all members know configuration {int} of member {int} and the withdrawn key {string} within {int} s',
  async (version: number, index: number, keyId: string, seconds: number) => {
    const others = [...findFleet(scenario).daemons.values()].filter(
      ({ name }) => name !== `vm-${index}`,
    );
    const know = () =>
      others.every(
        ({ configuration: { noticed, keys } }) =>
          noticed.get(`vm-${index}`) === version && keys.has(keyId),
      );
    await waitUntil('all know both', know, seconds * 1000);
  },
);

Then(
  'the members that hear member {int} see that it drains within {int} s',
  async (index: number, seconds: number) => {
    const others = [...findFleet(scenario).daemons.values()].filter(
      ({ name }) => name !== `vm-${index}`,
    );
    const see = () =>
      others.every(({ membership }) =>
        membership
          .statuses()
          .some(({ member, draining }) => member.vm === `vm-${index}` && draining),
      );
    await waitUntil('all see it', see, seconds * 1000);
  },
);
