import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { createEngineServer } from '../../harness/model-fixtures.js';
import type { Backends } from '../../src/backends/backends.js';
import { DeathWatch } from '../../src/execution/death-watch.js';
import { CallFailure } from '../../src/kernel/call-failure.js';
import { fail, succeed } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';

interface DeathWorld {
  watch: DeathWatch;
  engineState: string;
  reports: string[];
}

const scenario = world as unknown as DeathWorld;

const SERVER = createEngineServer('engine1');

function answerLoad(state: string) {
  if (state === 'refusing') return fail(CallFailure.create('refused', 'refused'));
  if (state === 'silent') return fail(CallFailure.create('silent', 'silent'));
  return succeed({ incarnation: state === 'restarted' ? 'run2' : 'run1' });
}

Given('a death watch with the requests {string} at the engine', (fingerprints: string) => {
  const engine = { load: async () => answerLoad(scenario.engineState) };
  const backends = { engine: () => engine } as unknown as Backends;
  scenario.reports = [];
  const target = {
    backends: () => backends,
    incarnation: () => 'run1',
    recordLoad: () => undefined,
    reportDeath: async (_server: string, reported: readonly string[]) => {
      scenario.reports.push(reported.join(' '));
    },
  };
  scenario.watch = DeathWatch.create(target, SystemClock.create());
  fingerprints
    .split(', ')
    .forEach((fingerprint) =>
      scenario.watch.attemptStarted('engine1', `attempt-${fingerprint}`, fingerprint),
    );
});

When(
  'the death watch loses {int} connections and finds the engine {string}',
  async (losses: number, state: string) => {
    scenario.engineState = state;
    // The second loss follows the verdict on the first, as when connections end late.
    for (let count = 0; count < losses; count += 1) {
      scenario.watch.connectionLost(SERVER);
      await scenario.watch.probesFinished();
    }
  },
);

Then('the death watch reported {string}', (reported: string) => {
  assert.equal(scenario.reports.join('; '), reported);
});
