import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, setDefaultTimeout, Then, When, world } from '@cucumber/cucumber';

import type { Incarnation } from '../../src/domain/vm.js';
import { parseMemberRecord } from '../../src/membership/member-record.js';
import { type MemberDaemon, MemberFleet } from '../support/membership/member-fleet.js';
import { sleepFast, waitUntil } from '../support/membership/waits.js';

interface MembershipWorld {
  fleet: MemberFleet | undefined;
  firstIncarnations: Map<string, Incarnation>;
  violationTimer: NodeJS.Timeout;
  violations: Set<string>;
}

const scenario = world as unknown as MembershipWorld;

setDefaultTimeout(60_000);

/**
 * Delay between the starts of members in real time, in milliseconds. Members that start together check
 * for suspects right after each round, when a late heartbeat goes unnoticed.
 */
const START_DELAY_MS = 130;

/** Finds incarnations that hold a live lease although the log has removed them; there must be none. */
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
  const { violations, firstIncarnations: first } = Object.assign(scenario, {
    fleet,
    firstIncarnations: new Map<string, Incarnation>(),
    violations: new Set<string>(),
    violationTimer: setInterval(
      () => findViolations(fleet).forEach((each) => violations.add(each)),
      5,
    ),
  });
  const started = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      if (speed) await delay(index * START_DELAY_MS);
      return fleet.start(index);
    }),
  );
  started.forEach(({ name, membership }) => first.set(name, membership.self()));
  await waitUntil(
    'all members have joined and hold leases',
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

function firstIncarnation(index: number): Incarnation {
  const first = scenario.firstIncarnations.get(`vm-${index}`);
  assert.ok(first, `no first incarnation of VM ${index}`);
  return first;
}

/** Finds the evidence with which the log ended the membership of an incarnation. */
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
  // Other features store a fleet of another type under this name.
  if (!scenario.violations || !scenario.fleet) return;
  clearInterval(scenario.violationTimer);
  await scenario.fleet.stop();
  // Guards against a share that is spent twice because a lease outlives the removal of its holder.
  const records = scenario.fleet.log.listParsed().map((record) => JSON.stringify(record));
  const trace = [...scenario.violations].map((each) =>
    records.filter((text) => text.includes(each)),
  );
  assert.deepEqual(
    [...scenario.violations],
    [],
    `incarnations removed while they held a live lease: ${trace.flat().join(' ')}`,
  );
});

Given('a member fleet of {int} VMs', async (count: number) => {
  await startFleet(count);
});

Given(
  'a member fleet of {int} VMs that writes snapshots every {int} s',
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
  find(index).setDisconnected(true);
});

When('member {int} is connected again', (index: number) => {
  assert.equal(find(index).membership.leaseLive(), false);
  find(index).setDisconnected(false);
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
  'member {int} applies configuration {int} and withdraws the key {string}',
  (index: number, version: number, keyId: string) => {
    const { configuration } = find(index);
    configuration.version = version;
    configuration.keys.add(keyId);
  },
);

When('the membership log becomes unavailable', () => {
  findFleet(scenario).log.out = true;
});

When('the membership log is available again', () => {
  findFleet(scenario).log.out = false;
});

When('the membership log reports an end that is {int} records older', (count: number) => {
  findFleet(scenario).log.lag = count;
});

/** The log keeps records for a day, so every running member has read a record before it is dropped. */
async function dropRecordsBefore(offset: number): Promise<void> {
  const { log } = findFleet(scenario);
  await waitUntil('all members to read the log', () => log.isRead(offset), 5000);
  log.earliest = offset;
}

When(
  'the membership log has a snapshot within {int} s and drops the records before it',
  async (seconds: number) => {
    const { log } = findFleet(scenario);
    const findSnapshot = () => log.listParsed().findLastIndex(({ kind }) => kind === 'snapshot');
    await waitUntil('a snapshot', () => findSnapshot() >= 0, seconds * 1000);
    await dropRecordsBefore(findSnapshot() + 1);
  },
);

When(
  'two snapshots of the same state are appended to the log, which drops all records before the second',
  async () => {
    const { log } = findFleet(scenario);
    const snapshot = log.records.findLast(
      ({ data }) => parseMemberRecord(data)?.kind === 'snapshot',
    );
    assert.ok(snapshot);
    [1, 2].forEach(() => log.records.push({ ...snapshot, offset: log.records.length + 1 }));
    await dropRecordsBefore(log.records.length);
  },
);

When('the VM list no longer contains member {int}', async (index: number) => {
  const { listing } = findFleet(scenario);
  // The list is read once a second, and it must have contained the VM before.
  await sleepFast(2000);
  listing.vms = listing.vms.filter(({ name }) => name !== `vm-${index}`);
});

Then(
  'the log removes the first incarnation of member {int} as {string} within {int} s',
  async (index: number, evidence: string, seconds: number) => {
    const fleet = findFleet(scenario);
    const first = firstIncarnation(index);
    const isRemoved = () => findEvidence(fleet, first) === evidence;
    await waitUntil(`${first.vm} is ${evidence}`, isRemoved, seconds * 1000);
  },
);

Then('the log does not remove member {int}', (index: number) => {
  assert.equal(findEvidence(findFleet(scenario), firstIncarnation(index)), undefined);
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
  await waitUntil('the lease has expired', () => !membership.leaseLive(), seconds * 1000);
  assert.equal(findEvidence(findFleet(scenario), firstIncarnation(index)), undefined);
});

Then(
  'member {int} is a member again within {int} s with another incarnation',
  async (index: number, seconds: number) => {
    const { membership } = find(index);
    const isBack = () => membership.joined() && membership.leaseLive();
    await waitUntil('the member has joined and holds a lease', isBack, seconds * 1000);
    const first = firstIncarnation(index);
    assert.notEqual(membership.self().incarnation, first.incarnation);
  },
);

Then(
  'members know that the first incarnation of member {int} has ended within {int} s',
  async (index: number, seconds: number) => {
    const first = firstIncarnation(index);
    const asked = [...findFleet(scenario).daemons.values()].filter(({ name }) => name !== first.vm);
    const haveEnded = async () => {
      const answers = await Promise.all(asked.map(({ membership }) => membership.hasEnded(first)));
      return answers.every(Boolean);
    };
    await waitUntil('all members know that the incarnation has ended', haveEnded, seconds * 1000);
    const live = asked[0]?.membership.self();
    assert.ok(live);
    const wrong = await Promise.all(asked.map(({ membership }) => membership.hasEnded(live)));
    assert.ok(!wrong.some(Boolean), 'a live member is considered ended');
  },
);

Then(
  'member {int} lists {int} members within {int} s and is not one of them',
  async (index: number, count: number, seconds: number) => {
    const { membership } = find(index);
    const hasList = () => membership.current().members.length === count;
    await waitUntil('the member has the list', hasList, seconds * 1000);
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
        ({ configuration: { observedOffsets: offsets, keys } }) =>
          offsets.get(`vm-${index}`) === version && keys.has(keyId),
      );
    await waitUntil('all members know the configuration and the key', know, seconds * 1000);
  },
);

Then(
  'the other members see that member {int} is draining within {int} s',
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
    await waitUntil('all members see that it is draining', see, seconds * 1000);
  },
);
