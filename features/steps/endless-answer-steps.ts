import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { SystemClock } from '../../src/kernel/system-clock.js';
import { createAnswerReader, READER_REQUEST_ID } from '../support/answer-readers.js';
import { EndlessServer } from '../support/endless-server.js';

interface EndlessWorld {
  endless: EndlessServer | undefined;
  stop: (() => Promise<void>) | undefined;
  failed: boolean;
  tookMs: number;
}

const scenario = world as unknown as EndlessWorld;

/** Bytes that wait in the buffers of a loopback connection, at most. */
const BUFFERED_BYTES = 12_582_912;

const clock = SystemClock.create();

After(async () => {
  scenario.endless?.close();
  await scenario.stop?.();
  Object.assign(scenario, { endless: undefined, stop: undefined });
});

Given(
  /^an endless server that sends (.*) without end, (fast|slow)$/,
  async (kind: string, pace: 'fast' | 'slow') => {
    scenario.endless = await EndlessServer.create(kind, pace);
  },
);

Given(
  /^an endless server that refuses requests and sends (.*) without end, (fast|slow)$/,
  async (kind: string, pace: 'fast' | 'slow') => {
    const headers = () => `Attempt-Id: ${READER_REQUEST_ID}\r\nNot-Run: 1\r\n`;
    scenario.endless = await EndlessServer.create(kind, pace, headers);
  },
);

When('the endless {string} is read', { timeout: 15_000 }, async (name: string) => {
  const reader = createAnswerReader(name, scenario.endless!.port);
  scenario.stop = reader.stop;
  const startedMs = performance.now();
  scenario.failed = !(await reader.call());
  scenario.tookMs = performance.now() - startedMs;
});

Then('reading from the endless server has failed within {int} ms', (mostMs: number) => {
  assert.ok(scenario.failed, 'an answer without end was accepted');
  assert.ok(scenario.tookMs <= mostMs, `${scenario.tookMs} ms`);
});

Then('the endless server could send at most {int} MB', (megabytes: number) => {
  const { sentBytes } = scenario.endless!;
  assert.ok(sentBytes <= megabytes * 1_048_576 + BUFFERED_BYTES, `${sentBytes} bytes`);
});

Then('the endless server has no open connection', async () => {
  for (let waits = 0; waits < 20 && scenario.endless!.openConnections > 0; waits += 1)
    await clock.sleep(50);
  assert.equal(scenario.endless!.openConnections, 0);
});
