import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';

import { createEngineServer } from '../../harness/model-fixtures.js';
import type { EngineServer } from '../../src/domain/backend-server.js';
import { FailureBackoff } from '../../src/routing/failure-backoff.js';
import { selectSubset } from '../../src/routing/subset.js';

function createServers(count: number): EngineServer[] {
  const zones = ['a', 'b', 'c'];
  return Array.from({ length: count }, (_, index) =>
    createEngineServer(`server-${index}`, { availabilityZone: zones[index % 3] ?? 'a' }),
  );
}

Then(
  'the routing subset of {int} servers in 3 zones has {int} with {int} in the own zone',
  (count: number, size: number, own: number) => {
    const subset = selectSubset('planner/decode/vm1', createServers(count), 'a');
    assert.equal(subset.length, size);
    assert.equal(new Set(subset).size, size);
    assert.equal(subset.filter(({ availabilityZone }) => availabilityZone === 'a').length, own);
  },
);

Then(
  'routing subsets of {int} VMs load each of {int} servers with at most {int} times the mean',
  (vms: number, count: number, factor: number) => {
    const uses = new Map<string, number>();
    const servers = createServers(count);
    for (let vm = 0; vm < vms; vm += 1) {
      const zone = ['a', 'b', 'c'][vm % 3] ?? 'a';
      selectSubset(`planner/decode/vm-${vm}`, servers, zone).forEach(({ name }) => {
        uses.set(name, (uses.get(name) ?? 0) + 1);
      });
    }
    const mean = (vms * 16) / count;
    assert.equal(uses.size, count);
    assert.ok(Math.max(...uses.values()) <= mean * factor);
  },
);

Then(
  'routing avoids a server for {int}, {int}, {int} ms after failures in a row',
  (first: number, second: number, third: number) => {
    const backoff = FailureBackoff.create();
    let nowMs = 0;
    [first, second, third].forEach((ms) => {
      backoff.recordFailure(nowMs);
      backoff.recordFailure(nowMs + 1);
      assert.ok(backoff.isActive(nowMs + ms - 1) && !backoff.isActive(nowMs + ms));
      nowMs += ms;
    });
    backoff.recordFailure(nowMs + 40_000);
    assert.ok(!backoff.isActive(nowMs + 40_250), 'an old failure no longer counts');
  },
);
