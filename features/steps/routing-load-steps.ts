import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import {
  createAssignment,
  createLoad,
  createRequest,
  type RoutingWorld,
  settle,
  stateOf,
} from '../support/routing-fixtures.js';

When(
  'routing assigns {int} decodes to {string}',
  function when(this: RoutingWorld, count: number, server: string) {
    const { routing } = stateOf(this);
    for (let index = 0; index < count; index += 1) {
      routing.assign(createAssignment({ server, attemptId: `a${index}` }));
    }
  },
);

When(
  'routing hears {int} ms later that {string} has {int} slots',
  function when(this: RoutingWorld, ms: number, server: string, slotsFree: number) {
    const { clock, routing } = stateOf(this);
    clock.advance(ms);
    routing.observe(server, createLoad({ slotsFree }));
  },
);

When('routing ends a decode on {string}', function when(this: RoutingWorld, server: string) {
  const { fakes, routing } = stateOf(this);
  fakes.capacityChanges = 0;
  routing.unassign('a0', server);
});

When(
  'routing measures a prefill of {int} tokens in {int} ms on {string}',
  function when(this: RoutingWorld, promptTokens: number, ms: number, server: string) {
    const { clock, routing } = stateOf(this);
    routing.assign(createAssignment({ server, phase: 'prefill', promptTokens }));
    clock.advance(ms);
    routing.observePrefill('a0', server, promptTokens);
    routing.unassign('a0', server);
  },
);

When(
  'routing hears that {string} has {int} queued tokens',
  function when(this: RoutingWorld, server: string, queuedPrefillTokens: number) {
    stateOf(this).routing.observe(server, createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing starts and hears from {string} but not from {string} for a second',
  async function when(this: RoutingWorld, heard: string, silent: string) {
    const { clock, routing, polls } = stateOf(this);
    assert.notEqual(heard, silent);
    polls.length = 0;
    for (let tick = 0; tick < 30; tick += 1) {
      clock.advance(100);
      routing.observe(heard, createLoad());
      await settle();
    }
  },
);

When(
  /^no answer comes from "(.*)" for two seconds (with|without) requests$/,
  async function when(this: RoutingWorld, names: string, requests: string) {
    const { clock, polls, routing, silent } = stateOf(this);
    names.split(' ').forEach((name) => silent.add(name));
    polls.length = 0;
    for (let tick = 0; tick < 40; tick += 1) {
      if (requests === 'with') routing.headroom(createRequest().model);
      clock.advance(50);
      await settle();
    }
  },
);

Then(
  'routing polled the load of {string} {int} to {int} times, and of the others at most twice',
  function then(this: RoutingWorld, polled: string, least: number, most: number) {
    const loads = stateOf(this).polls.filter((poll) => poll.startsWith('load'));
    const own = loads.filter((poll) => poll === `load ${polled}`).length;
    assert.ok(own >= least && own <= most, `${own} polls`);
    assert.ok(loads.length - own <= 4, `${loads.length - own} polls without an answer`);
  },
);

Then(
  'routing has headroom {int} for {string}',
  function then(this: RoutingWorld, slots: number, model: string) {
    assert.equal(stateOf(this).routing.headroom(model), slots);
  },
);

Then('routing told admission that capacity changed', function then(this: RoutingWorld) {
  assert.equal(stateOf(this).fakes.capacityChanges, 1);
});

Then('routing expects a prefill wait of {int} ms', function then(this: RoutingWorld, ms: number) {
  assert.equal(stateOf(this).routing.prefillWaitMs('planner'), ms);
});

Then(
  'routing polled the load of {string} more often than that of {string}',
  function then(this: RoutingWorld, polled: string, heard: string) {
    const { polls } = stateOf(this);
    const count = (name: string) => polls.filter((poll) => poll === `load ${name}`).length;
    assert.ok(count(polled) >= 2, `${count(polled)} polls`);
    assert.equal(count(heard), 0);
  },
);

Then('routing polled cache events of both engines', function then(this: RoutingWorld) {
  const { polls } = stateOf(this);
  assert.ok(polls.includes('cache e1') && polls.includes('cache e2'));
});
