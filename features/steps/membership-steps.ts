import assert from 'node:assert/strict';

import { After, Given, setDefaultTimeout, Then, When } from '@cucumber/cucumber';

import type { Incarnation } from '../../src/domain/vm.js';
import { type MemberDaemon, MemberFleet } from '../support/membership/member-fleet.js';
import { waitFor, waitUntil } from '../support/membership/waits.js';

interface MembershipWorld {
  fleet: MemberFleet | undefined;
  first: Map<string, Incarnation>;
  watch: NodeJS.Timeout;
  violations: Set<string>;
}

setDefaultTimeout(60_000);

/** Looks for a VM that believes in a lease that the log has ended; this must never be seen. */
function findViolations({ daemons, log }: MemberFleet): string[] {
  const removed = new Set(
    log.list().flatMap((record) => (record.kind === 'removed' ? [record.incarnation] : [])),
  );
  return [...daemons.values()]
    .filter(({ membership }) => membership.leaseLive())
    .map(({ membership }) => membership.self().incarnation)
    .filter((incarnation) => removed.has(incarnation));
}

async function startFleet(world: MembershipWorld, count: number, snapshotMs?: number) {
  const fleet = MemberFleet.create();
  if (snapshotMs) fleet.snapshotMs = snapshotMs;
  const { violations, first } = Object.assign(world, {
    fleet,
    first: new Map<string, Incarnation>(),
    violations: new Set<string>(),
    watch: setInterval(() => findViolations(fleet).forEach((each) => violations.add(each)), 5),
  });
  const started = await Promise.all(
    Array.from({ length: count }, (_, index) => fleet.start(index)),
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

function find(world: MembershipWorld, index: number | string): MemberDaemon {
  const daemon = world.fleet?.daemons.get(`vm-${index}`);
  assert.ok(daemon, `no daemon on VM ${index}`);
  return daemon;
}

function findFleet({ fleet }: MembershipWorld): MemberFleet {
  assert.ok(fleet, 'no member fleet');
  return fleet;
}

function findFirst(world: MembershipWorld, index: number): Incarnation {
  const first = world.first.get(`vm-${index}`);
  assert.ok(first, `no first incarnation of VM ${index}`);
  return first;
}

/** Names what ended the membership of an incarnation in the log. */
function findEvidence(fleet: MemberFleet, { vm, incarnation }: Incarnation): string | undefined {
  const records = fleet.log.list();
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

After(async function stop(this: MembershipWorld) {
  // Other features keep a fleet of another kind under this name.
  if (!this.violations || !this.fleet) return;
  clearInterval(this.watch);
  await this.fleet.stop();
  // Guards against a share that is spent twice: a lease that outlives its removal.
  const records = this.fleet.log.list().map((record) => JSON.stringify(record));
  const trace = [...this.violations].map((each) => records.filter((text) => text.includes(each)));
  assert.deepEqual(
    [...this.violations],
    [],
    `removed with a live lease: ${trace.flat().join(' ')}`,
  );
});

Given('a member fleet of {int} VMs', async function given(this: MembershipWorld, count: number) {
  await startFleet(this, count);
});

Given(
  'a member fleet of {int} VMs that snapshots every {int} s',
  async function given(this: MembershipWorld, count: number, seconds: number) {
    await startFleet(this, count, seconds * 1000);
  },
);

When('member {int} dies', async function when(this: MembershipWorld, index: number) {
  await find(this, index).stop();
  findFleet(this).daemons.delete(`vm-${index}`);
});

When('member {int} starts', async function when(this: MembershipWorld, index: number) {
  await findFleet(this).start(index);
});

When('member {int} starts again', async function when(this: MembershipWorld, index: number) {
  await findFleet(this).start(index);
});

When(
  'member {int} restarts with a new incarnation',
  async function when(this: MembershipWorld, index: number) {
    await find(this, index).stop();
    await findFleet(this).start(index);
  },
);

When('member {int} is paused', function when(this: MembershipWorld, index: number) {
  find(this, index).clock.pause(false);
});

When(
  'member {int} is suspended with its clock',
  function when(this: MembershipWorld, index: number) {
    find(this, index).clock.pause(true);
  },
);

When('member {int} wakes without a lease', function when(this: MembershipWorld, index: number) {
  const { clock, membership } = find(this, index);
  clock.resume();
  assert.equal(membership.leaseLive(), false);
});

When('member {int} is cut off from the rest', function when(this: MembershipWorld, index: number) {
  find(this, index).setCut(true);
});

When('member {int} is connected again', function when(this: MembershipWorld, index: number) {
  assert.equal(find(this, index).membership.leaseLive(), false);
  find(this, index).setCut(false);
});

When('member {int} leaves', async function when(this: MembershipWorld, index: number) {
  const { membership } = find(this, index);
  const left = membership.leave();
  assert.equal(membership.leaseLive(), false);
  await left;
});

When('member {int} drains', async function when(this: MembershipWorld, index: number) {
  await find(this, index).membership.drain();
});

When(
  'member {int} folds configuration {int} and withdraws the key {string}',
  function when(this: MembershipWorld, index: number, version: number, keyId: string) {
    const { configuration } = find(this, index);
    configuration.version = version;
    configuration.keys.add(keyId);
  },
);

When('the membership log goes out', function when(this: MembershipWorld) {
  findFleet(this).log.out = true;
});

When('the membership log comes back', function when(this: MembershipWorld) {
  findFleet(this).log.out = false;
});

When(
  'the membership log shows an end that is {int} records older',
  function when(this: MembershipWorld, count: number) {
    findFleet(this).log.lag = count;
  },
);

When(
  'the membership log has a snapshot within {int} s and forgets the records before it',
  async function when(this: MembershipWorld, seconds: number) {
    const { log } = findFleet(this);
    const findSnapshot = () => log.list().findLastIndex(({ kind }) => kind === 'snapshot');
    await waitUntil('a snapshot', () => findSnapshot() >= 0, seconds * 1000);
    log.earliest = findSnapshot() + 1;
  },
);

When('the VM list drops member {int}', async function when(this: MembershipWorld, index: number) {
  const { listing } = findFleet(this);
  // The list is read once a second; it must have shown the VM before.
  await waitFor(2000);
  listing.vms = listing.vms.filter(({ name }) => name !== `vm-${index}`);
});

Then(
  'the log removes the first incarnation of member {int} as {string} within {int} s',
  async function then(this: MembershipWorld, index: number, evidence: string, seconds: number) {
    const fleet = findFleet(this);
    const first = findFirst(this, index);
    const isRemoved = () => findEvidence(fleet, first) === evidence;
    await waitUntil(`${first.vm} is ${evidence}`, isRemoved, seconds * 1000);
  },
);

Then('the log does not remove member {int}', function then(this: MembershipWorld, index: number) {
  assert.equal(findEvidence(findFleet(this), findFirst(this, index)), undefined);
});

Then(
  'the members {string} keep their leases for {int} s',
  async function then(this: MembershipWorld, indices: string, seconds: number) {
    const daemons = indices.split(',').map((index) => find(this, index));
    const isLive = () => daemons.every(({ membership }) => membership.leaseLive());
    await waitUntil('the leases are live', isLive, 10_000);
    for (let sample = 0; sample < seconds * 20; sample += 1) {
      daemons.forEach(({ name, membership }) => assert.ok(membership.leaseLive(), name));
      await waitFor(50);
    }
  },
);

Then(
  'member {int} loses its lease within {int} s',
  async function then(this: MembershipWorld, index: number, seconds: number) {
    const { membership } = find(this, index);
    await waitUntil('the lease has lapsed', () => !membership.leaseLive(), seconds * 1000);
    assert.equal(findEvidence(findFleet(this), findFirst(this, index)), undefined);
  },
);

Then(
  'member {int} is a member again within {int} s with another incarnation',
  async function then(this: MembershipWorld, index: number, seconds: number) {
    const { membership } = find(this, index);
    const isBack = () => membership.joined() && membership.leaseLive();
    await waitUntil('it has joined with a lease', isBack, seconds * 1000);
    const first = findFirst(this, index);
    assert.notEqual(membership.self().incarnation, first.incarnation);
  },
);

Then(
  'members know that the first incarnation of member {int} is gone within {int} s',
  async function then(this: MembershipWorld, index: number, seconds: number) {
    const first = findFirst(this, index);
    const asked = [...findFleet(this).daemons.values()].filter(({ name }) => name !== first.vm);
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
  async function then(this: MembershipWorld, index: number, count: number, seconds: number) {
    const { membership } = find(this, index);
    const hasList = () => membership.current().members.length === count;
    await waitUntil('it has the list', hasList, seconds * 1000);
    assert.equal(membership.joined(), false);
    assert.equal(membership.leaseLive(), false);
  },
);

Then('all members agree on {int} members', async function then(this: MembershipWorld, count) {
  const daemons = [...findFleet(this).daemons.values()];
  const agree = () => daemons.every(({ membership }) => isSettled(membership, count));
  await waitUntil(`all list ${count} members`, agree, 20_000);
  const lists = daemons.map(({ membership }) => JSON.stringify(membership.current()));
  assert.equal(new Set(lists).size, 1);
});

Then(
  'all members know configuration {int} of member {int} and the withdrawn key {string} within {int} s',
  async function then(
    this: MembershipWorld,
    version: number,
    index: number,
    keyId: string,
    seconds: number,
  ) {
    const others = [...findFleet(this).daemons.values()].filter(
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
  async function then(this: MembershipWorld, index: number, seconds: number) {
    const others = [...findFleet(this).daemons.values()].filter(
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
