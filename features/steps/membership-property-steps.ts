import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';

import {
  EMPTY_MEMBER_STATE,
  applyMemberRecord,
  replayMemberRecords,
  type MemberState,
  createMemberSnapshot,
} from '../../src/membership/member-state.js';
import type { MemberRecord } from '../../src/membership/member-record.js';
import { chooseWitnesses } from '../../src/membership/witness-set.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';
import { createTestMember, LeaseSimulation, schedules } from '../support/lease-simulation.js';
import { readSeed } from '../support/seed.js';

const seed = readSeed();

const member = fc
  .tuple(fc.nat({ max: 9 }), fc.nat({ max: 3 }))
  .map(([index, run]) => createTestMember(index, `run-${run}`));

const memberRecord: fc.Arbitrary<MemberRecord> = fc.oneof(
  member.map((each) => ({ format: 1 as const, kind: 'joined' as const, member: each })),
  fc
    .record({
      member,
      evidence: fc.constantFrom('fenced', 'left', 'replaced', 'unlisted'),
      epoch: fc.nat({ max: 80 }),
    })
    .map(({ member: { vm, incarnation }, evidence, epoch }) => ({
      format: 1 as const,
      kind: 'removed' as const,
      vm,
      incarnation,
      evidence,
      epoch,
    })),
);

const data = fc.oneof(
  { weight: 20, arbitrary: memberRecord.map((record) => JSON.stringify(record)) },
  { weight: 1, arbitrary: fc.constantFrom('', '{"format":2}', '{"format":1,"kind":"joined"}') },
);

const streams = fc
  .array(data, { minLength: 1, maxLength: 120 })
  .map((records): LogRecord[] =>
    records.map((each, index) => ({ offset: index + 1, timestampMs: index, data: each })),
  );

function check<Values extends [unknown, ...unknown[]]>(
  property: fc.IProperty<Values>,
  numRuns: number,
): void {
  process.stdout.write(`\nseed ${seed}, ${numRuns} runs\n`);
  fc.assert(property, { seed, numRuns });
}

/** Converts a state for comparison, without the order of its map. */
function describeState(state: MemberState): unknown {
  const content = createMemberSnapshot(state);
  const members = content.members.sort((a, b) => (a.member.vm < b.member.vm ? -1 : 1));
  return JSON.parse(JSON.stringify({ ...content, members, offset: state.offset }));
}

Then(
  'in {int} arbitrary lease schedules no member has a live lease after its fence',
  { timeout: 60_000 },
  (runs: number) => {
    let fences = 0;
    check(
      fc.property(schedules, ({ members, rates, steps }) => {
        const simulation = LeaseSimulation.create(members, rates);
        steps.forEach((step) => simulation.step(step));
        fences += simulation.completedFences;
      }),
      runs,
    );
    process.stdout.write(`fences completed: ${fences}\n`);
    // If almost no schedule completed a fence, the property would prove nothing.
    assert.ok(fences > runs / 100, `only ${fences} fences completed in ${runs} schedules`);
  },
);

Then(
  '{int} arbitrary member streams give the same state when applied in parts of any size',
  (runs: number) => {
    check(
      fc.property(streams, fc.nat(), (records, at) => {
        const split = at % records.length;
        const whole = records.reduce(applyMemberRecord, EMPTY_MEMBER_STATE);
        const part = records.slice(0, split).reduce(applyMemberRecord, EMPTY_MEMBER_STATE);
        // A record that is read twice must be applied only once.
        const resumed = records.slice(Math.max(0, split - 3)).reduce(applyMemberRecord, part);
        assert.deepEqual(describeState(resumed), describeState(whole));
      }),
      runs,
    );
  },
);

Then(
  '{int} arbitrary member streams give the same state when applied from a snapshot',
  (runs: number) => {
    check(
      fc.property(streams, fc.nat(), fc.nat(), (records, at, dropped) => {
        const upTo = at % records.length;
        const state = createMemberSnapshot(
          records.slice(0, upTo).reduce(applyMemberRecord, EMPTY_MEMBER_STATE),
        );
        const snapshot: MemberRecord = { format: 1, kind: 'snapshot', upTo, state };
        const last = { offset: records.length + 1, timestampMs: 1, data: JSON.stringify(snapshot) };
        const all = [...records, last];
        const kept = all.slice(Math.min(dropped % all.length, upTo));
        const whole = all.reduce(applyMemberRecord, EMPTY_MEMBER_STATE);
        assert.deepEqual(describeState(replayMemberRecords(kept)!), describeState(whole));
        assert.equal(
          replayMemberRecords(all.slice(upTo + 1)),
          undefined,
          'a state was restored although a record is missing',
        );
      }),
      runs,
    );
  },
);

Then('the witnesses of {int} arbitrary fleets depend on no member that was not chosen', (runs) => {
  check(
    fc.property(fc.uniqueArray(fc.nat({ max: 40 }), { minLength: 2 }), fc.nat(), (names, at) => {
      const members = names.map((index) => createTestMember(index));
      const vm = members[0]?.vm ?? '';
      const chosen = chooseWitnesses(members, vm);
      const left = members[at % members.length];
      if (!left || chosen.includes(left)) return;
      assert.deepEqual(
        chooseWitnesses(
          members.filter((each) => each !== left),
          vm,
        ),
        chosen,
      );
    }),
    runs,
  );
});
