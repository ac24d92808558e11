import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';

import {
  createAssignment,
  createLoad,
  createRequest,
  settle,
  getState,
} from '../support/routing-fixtures.js';

When('routing assigns {int} decodes to {string}', (count: number, server: string) => {
  const { routing } = getState();
  for (let index = 0; index < count; index += 1) {
    routing.assign(createAssignment({ server, attemptId: `a${index}` }));
  }
});

When(
  'routing observes {int} ms later that {string} has {int} slots',
  (ms: number, server: string, slotsFree: number) => {
    const { clock, routing } = getState();
    clock.advance(ms);
    routing.observeLoad(server, createLoad({ slotsFree }));
  },
);

When('routing ends a decode on {string}', (server: string) => {
  const { fakes, routing } = getState();
  fakes.capacityChanges = 0;
  routing.unassign('a0', server);
});

When(
  'routing measures a prefill of {int} tokens in {int} ms on {string}',
  (promptTokens: number, ms: number, server: string) => {
    const { clock, routing } = getState();
    routing.assign(createAssignment({ server, phase: 'prefill', promptTokens }));
    clock.advance(ms);
    routing.observePrefill('a0', server, promptTokens);
    routing.unassign('a0', server);
  },
);

When(
  'routing observes that {string} has {int} queued tokens',
  (server: string, queuedPrefillTokens: number) => {
    getState().routing.observeLoad(server, createLoad({ queuedPrefillTokens }));
  },
);

When(
  'routing starts and observes loads of {string} but none of {string} for three seconds',
  async (reporting: string, silent: string) => {
    const { clock, routing, polls } = getState();
    assert.notEqual(reporting, silent);
    polls.length = 0;
    for (let tick = 0; tick < 30; tick += 1) {
      clock.advance(100);
      routing.observeLoad(reporting, createLoad());
      await settle();
    }
  },
);

When(
  /^no answer comes from "(.*)" for two seconds (with|without) requests$/,
  async (names: string, requests: string) => {
    const { clock, polls, routing, silent } = getState();
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
  (polled: string, min: number, max: number) => {
    const loads = getState().polls.filter((poll) => poll.startsWith('load'));
    const own = loads.filter((poll) => poll === `load ${polled}`).length;
    assert.ok(own >= min && own <= max, `${own} polls`);
    assert.ok(loads.length - own <= 4, `${loads.length - own} polls without an answer`);
  },
);

Then('routing has headroom {int} for {string}', (slots: number, model: string) => {
  assert.equal(getState().routing.headroom(model), slots);
});

Then('routing told admission that capacity changed', () => {
  assert.equal(getState().fakes.capacityChanges, 1);
});

Then('routing expects a prefill wait of {int} ms', (ms: number) => {
  assert.equal(getState().routing.prefillWaitMs('planner'), ms);
});

Then(
  'routing polled the load of {string} more often than that of {string}',
  (polled: string, reporting: string) => {
    const { polls } = getState();
    const count = (name: string) => polls.filter((poll) => poll === `load ${name}`).length;
    assert.ok(count(polled) >= 2, `${count(polled)} polls`);
    assert.equal(count(reporting), 0);
  },
);

Then('routing polled cache events of both engines', () => {
  const { polls } = getState();
  assert.ok(polls.includes('cache e1') && polls.includes('cache e2'));
});
