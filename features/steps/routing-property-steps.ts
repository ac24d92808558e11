import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';

import type { CacheEvent } from '../../src/backends/engine.js';
import { EngineLoadTracker } from '../../src/routing/engine-load-tracker.js';
import { PrefixIndex } from '../../src/routing/prefix-index.js';
import {
  selectRandom,
  selectDecode,
  selectPrefill,
  type Candidate,
  type SelectionCriteria,
} from '../../src/routing/server-selection.js';
import { readSeed } from '../support/seed.js';

const candidateLists = fc
  .array(
    fc.record({
      estimate: fc.record({
        slotsFree: fc.nat(3),
        blocksFree: fc.nat(8),
        queuedPrefillTokens: fc.nat(10_000),
      }),
      draining: fc.boolean(),
      avoided: fc.boolean(),
      ownZone: fc.boolean(),
      suspects: fc.nat(1),
      cachedTokens: fc.nat(100),
      excluded: fc.boolean(),
    }),
    { maxLength: 20 },
  )
  .map((list) => list.map((item, index) => ({ ...item, server: index, name: `s${index}` })));

type TestCandidates = (Candidate<number> & { excluded: boolean })[];

function checkSelections(candidates: TestCandidates, rule: SelectionCriteria): void {
  const allowed = candidates.filter(
    (item) => !item.draining && !item.excluded && !(rule.suspect && item.suspects > 0),
  );
  const withCapacity = allowed.filter(
    ({ estimate }) => estimate.slotsFree > 0 && estimate.blocksFree >= rule.blocks,
  );
  checkSelected(selectDecode(candidates, rule), withCapacity);
  checkSelected(selectPrefill(candidates, rule), allowed);
  checkSelected(selectRandom(candidates, rule), allowed);
}

function checkSelected(
  choice: Candidate<number> | undefined,
  allowed: readonly Candidate<number>[],
): void {
  if (!choice) {
    assert.equal(allowed.length, 0, 'a server was usable');
    return;
  }
  assert.ok(allowed.includes(choice), `${choice.name} must not be chosen`);
  if (choice.avoided) assert.ok(allowed.every(({ avoided }) => avoided));
}

Then(
  'routing choices respect their rules over {int} fleets',
  { timeout: 30_000 },
  (numRuns: number) => {
    const randoms = fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), { minLength: 1 });
    const property = fc.property(
      candidateLists,
      fc.boolean(),
      fc.nat(8),
      randoms,
      (candidates, suspect, blocks, numbers) => {
        let used = 0;
        const random = () => {
          used += 1;
          return numbers[used % numbers.length] ?? 0;
        };
        const excluded = new Set(
          candidates.filter((item) => item.excluded).map(({ name }) => name),
        );
        // Guards against sending work to a server that is draining, that is full, or that this
        // request excludes, for example after a failure.
        checkSelections(candidates, { excluded, suspect, blocks, affinityTokens: 4096, random });
      },
    );
    fc.assert(property, { numRuns, seed: readSeed() });
  },
);

const trackerEvents = fc.array(
  fc.record({
    kind: fc.constantFrom('assign', 'unassign', 'observe'),
    attempt: fc.nat(5),
    phase: fc.constantFrom('prefill', 'decode'),
    amount: fc.nat(300),
    waitMs: fc.nat(40),
  }),
);

Then(
  'routing load estimates stay within bounds over {int} histories',
  { timeout: 30_000 },
  (numRuns: number) => {
    const property = fc.property(trackerEvents, (events) => {
      const tracker = EngineLoadTracker.create();
      const capacity = { decodeSlots: 3, kvBlocks: 256 };
      let nowMs = 0;
      events.forEach(({ kind, attempt, phase, amount, waitMs }) => {
        nowMs += waitMs;
        const attemptId = `a${attempt}`;
        const work = { attemptId, phase, blocks: amount };
        if (kind === 'assign') {
          const rest = { server: 's', fingerprint: 'f', promptTokens: amount, suspect: false };
          tracker.assign({ ...work, ...rest }, nowMs);
        } else if (kind === 'unassign') tracker.unassign(attemptId, work.phase);
        else {
          const rest = { level: 0, draining: false, incarnation: 'i' };
          const load = { slotsFree: amount % 4, blocksFree: amount, queuedPrefillTokens: amount };
          tracker.observeLoad({ ...load, ...rest }, nowMs);
        }
        // Guards against a negative estimate, which would exclude a server permanently, and against
        // an estimate above the configured capacity.
        const { slotsFree, blocksFree, queuedPrefillTokens } = tracker.estimate(capacity);
        assert.ok(slotsFree >= 0 && slotsFree <= capacity.decodeSlots);
        assert.ok(blocksFree >= 0 && blocksFree <= capacity.kvBlocks);
        assert.ok(queuedPrefillTokens >= 0);
      });
    });
    fc.assert(property, { numRuns, seed: readSeed() });
  },
);

const cacheHistories = fc.array(
  fc.record({
    kind: fc.constantFrom('stored', 'evicted'),
    prefix: fc.nat(4),
    lost: fc.integer({ min: 0, max: 6 }).map((value) => value === 0),
    fetch: fc.boolean(),
  }),
  { maxLength: 40 },
);

Then(
  'the routing prefix index never claims more than a model of it over {int} histories',
  { timeout: 30_000 },
  (numRuns: number) => {
    const property = fc.property(cacheHistories, (history) => {
      const index = PrefixIndex.create(3);
      const truth = new Set<string>();
      const unread: CacheEvent[] = [];
      let complete = true;
      history.forEach(({ kind, prefix, lost, fetch }, position) => {
        const prefixHash = `prefix-${prefix}`.padEnd(64, '0');
        const event = { sequence: position + 1, kind, prefixHash } as CacheEvent;
        if (kind === 'stored') truth.add(prefixHash);
        else truth.delete(prefixHash);
        if (lost) complete = false;
        else {
          unread.push(event);
          complete = true;
        }
        if (!fetch) return;
        // Delivers the newest events first and one of them twice, as after a repeated poll.
        index.apply('s', [...unread].reverse());
        index.apply('s', unread.slice(-1));
        unread.length = 0;
        assert.ok(index.size <= 3, 'the index is bounded');
        if (!complete) return;
        // Guards against choosing a server for a prefix whose eviction was among missed events.
        Array.from({ length: 5 }, (_, number) => `prefix-${number}`.padEnd(64, '0'))
          .filter((hash) => !truth.has(hash))
          .forEach((hash) => assert.equal(index.countCached('s', [hash.slice(0, 16)]), 0));
      });
    });
    fc.assert(property, { numRuns, seed: readSeed() });
  },
);
