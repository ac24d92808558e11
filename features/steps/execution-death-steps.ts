import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { createEngineServer } from '../../harness/model-fixtures.js';
import type { Backends } from '../../src/backends/backends.js';
import { EngineDeathDetector } from '../../src/execution/engine-death-detector.js';
import { CallFailure } from '../../src/kernel/call-failure.js';
import { fail, succeed } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';

interface DeathWorld {
  detector: EngineDeathDetector;
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

Given('a death watch with the requests {string} aboard the engine', (prints: string) => {
  const engine = { load: async () => answerLoad(scenario.engineState) };
  const backends = { engine: () => engine } as unknown as Backends;
  scenario.reports = [];
  const target = {
    backends: () => backends,
    incarnation: () => 'run1',
    recordLoad: () => undefined,
    reportDeath: async (_server: string, all: readonly string[]) => {
      scenario.reports.push(all.join(' '));
    },
  };
  scenario.detector = EngineDeathDetector.create(target, SystemClock.create());
  prints
    .split(', ')
    .forEach((print) => scenario.detector.attemptStarted('engine1', `attempt-${print}`, print));
});

When(
  'the death watch loses {int} connections and finds the engine {string}',
  async (losses: number, state: string) => {
    scenario.engineState = state;
    // The second loss comes after the verdict on the first, as with connections that end late.
    for (let count = 0; count < losses; count += 1) {
      scenario.detector.connectionLost(SERVER);
      await scenario.detector.probesFinished();
    }
  },
);

Then('the death watch reported {string}', (reported: string) => {
  assert.equal(scenario.reports.join('; '), reported);
});
