import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import {
  createAssignment,
  createLoad,
  createRequest,
  settle,
  stateOf,
} from '../support/routing-fixtures.js';

When('routing assigns {int} decodes to {string}', (count: number, server: string) => {
  const { routing } = stateOf();
  for (let index = 0; index < count; index += 1) {
    routing.assign(createAssignment({ server, attemptId: `a${index}` }));
  }
});

When(
  'routing hears {int} ms later that {string} has {int} slots',
  (ms: number, server: string, slotsFree: number) => {
    const { clock, routing } = stateOf();
    clock.advance(ms);
    routing.observeLoad(server, createLoad({ slotsFree }));
  },
);

When('routing ends a decode on {string}', (server: string) => {
  const { fakes, routing } = stateOf();
  fakes.capacityChanges = 0;
  routing.unassign('a0', server);
});

When(
  'routing measures a prefill of {int} tokens in {int} ms on {string}',
  (promptTokens: number, ms: number, server: string) => {
    const { clock, routing } = stateOf();
    routing.assign(createAssignment({ server, phase: 'prefill', promptTokens }));
    clock.advance(ms);
    routing.observePrefill('a0', server, promptTokens);
    routing.unassign('a0', server);
  },
);

When(
  'routing hears that {string} has {int} queued tokens',
  (server: string, queuedPrefillTokens: number) => {
    stateOf().routing.observeLoad(server, createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing starts and hears from {string} but not from {string} for a second',
  async (heard: string, silent: string) => {
    const { clock, routing, polls } = stateOf();
    assert.notEqual(heard, silent);
    polls.length = 0;
    for (let tick = 0; tick < 30; tick += 1) {
      clock.advance(100);
      routing.observeLoad(heard, createLoad());
      await settle();
    }
  },
);

When(
  /^no answer comes from "(.*)" for two seconds (with|without) requests$/,
  async (names: string, requests: string) => {
    const { clock, polls, routing, silent } = stateOf();
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
  (polled: string, least: number, most: number) => {
    const loads = stateOf().polls.filter((poll) => poll.startsWith('load'));
    const own = loads.filter((poll) => poll === `load ${polled}`).length;
    assert.ok(own >= least && own <= most, `${own} polls`);
    assert.ok(loads.length - own <= 4, `${loads.length - own} polls without an answer`);
  },
);

Then('routing has headroom {int} for {string}', (slots: number, model: string) => {
  assert.equal(stateOf().routing.headroom(model), slots);
});

Then('routing told admission that capacity changed', () => {
  assert.equal(stateOf().fakes.capacityChanges, 1);
});

Then('routing expects a prefill wait of {int} ms', (ms: number) => {
  assert.equal(stateOf().routing.prefillWaitMs('planner'), ms);
});

Then(
  'routing polled the load of {string} more often than that of {string}',
  (polled: string, heard: string) => {
    const { polls } = stateOf();
    const count = (name: string) => polls.filter((poll) => poll === `load ${name}`).length;
    assert.ok(count(polled) >= 2, `${count(polled)} polls`);
    assert.equal(count(heard), 0);
  },
);

Then('routing polled cache events of both engines', () => {
  const { polls } = stateOf();
  assert.ok(polls.includes('cache e1') && polls.includes('cache e2'));
});
