import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createPlatformConfiguration } from '../../harness/platform-fixtures.js';
import { launchPlatformRouter, type PlatformRouter } from '../../harness/platform-router.js';
import { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import { PlatformServer, type PlatformStage } from '../../stand-ins/platform/platform-server.js';
import type { UnframedAnswer } from '../../stand-ins/platform/unframed-answer.js';
import { callRouter, countEnds, type CallerAnswer } from '../support/caller-end.js';

interface PiecesWorld {
  piecesStore: PlatformLog;
  piecesServers: PlatformServer[] | undefined;
  piecesRouter: PlatformRouter | undefined;
  piecesKind: string;
  piecesBody: Buffer;
  piecesAnswers: CallerAnswer[];
}

const scenario = world as unknown as PiecesWorld;

const STEP = { timeout: 60_000 } as const;

const CALLERS = 12;

/** Time between two pieces of an answer, in milliseconds. */
const PAUSE_MS = 50;

/** Time that callers read until the router ends, in milliseconds. */
const READ_MS = 1500;

/** Time limit of the routes, in milliseconds. */
const ROUTE_TIMEOUT_MS = 30_000;

/** Grace period that ends before the answers do. */
const GRACE_S = 1;

const STAGES: readonly PlatformStage[] = ['prefill', 'decode', 'decode', undefined];

const SIGNALS: Readonly<Record<string, NodeJS.Signals>> = {
  'a kill': 'SIGKILL',
  'an abort': 'SIGABRT',
  'the end of a stop': 'SIGTERM',
};

function buildEvent(id: number, bytes: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${'x'.repeat(bytes)}\n\n`);
}

function halve(bytes: Buffer): Buffer[] {
  const middle = Math.floor(bytes.length / 2);
  return [bytes.subarray(0, middle), bytes.subarray(middle)];
}

function buildEvents(count: number, bytes: number): Buffer[] {
  return Array.from({ length: count }, (_, index) => buildEvent(index + 1, bytes));
}

const BODIES: Readonly<Record<string, (pieces: number) => Buffer[]>> = {
  'short events': (pieces) => buildEvents(pieces, 10),
  'long events': (pieces) => buildEvents(pieces, 9000),
  'halves of events': (pieces) => buildEvents(pieces / 2, 10).flatMap(halve),
  'plain answers': (pieces) => Array.from({ length: pieces }, () => Buffer.alloc(30_000, 'x')),
};

After(async () => {
  await scenario.piecesRouter?.remove();
  scenario.piecesServers?.forEach((server) => server.close());
  if (scenario.piecesServers) scenario.piecesStore.close();
  Object.assign(scenario, { piecesRouter: undefined, piecesServers: undefined });
});

Given(
  /^a router before servers that send (.*) without a length, piece by piece for (\d+) s$/,
  STEP,
  async (kind: string, seconds: string) => {
    const pieces = (BODIES[kind] ?? assert.fail(kind))((1000 * Number(seconds)) / PAUSE_MS);
    const answer: UnframedAnswer = {
      pieces,
      pauseMs: PAUSE_MS,
      end: 'close',
      isComplete: true,
      delayMs: 0,
      digest: '',
    };
    const store = await PlatformLog.create();
    const configuration = createPlatformConfiguration();
    const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: ROUTE_TIMEOUT_MS }));
    store.put('keyed.op', 'config', { ...configuration, routes });
    const servers = await Promise.all(
      STAGES.map((stage, index) => PlatformServer.create(`i-${index}`, stage, () => answer)),
    );
    servers.forEach((server) =>
      store.put('keyed.servers', server.id, { ...server.entry(), slots: CALLERS }),
    );
    Object.assign(scenario, {
      piecesStore: store,
      piecesServers: servers,
      piecesKind: kind,
      piecesBody: Buffer.concat(pieces),
      piecesRouter: await launchPlatformRouter(store.address, GRACE_S),
    });
  },
);

/** Sends requests whose answers all have begun when the promise resolves. */
async function beginAnswers(): Promise<Promise<CallerAnswer>[]> {
  const { piecesKind, piecesBody, piecesRouter } = scenario;
  const isPlain = piecesKind === 'plain answers';
  const path = isPlain ? '/order/a' : '/plan/a';
  const headers: Readonly<Record<string, string>> = isPlain
    ? {}
    : { Model: 'm', 'Token-Count': '100,50' };
  const { address } = piecesRouter!;
  const answers: Promise<CallerAnswer>[] = [];
  const begins = Array.from(
    { length: CALLERS },
    (_, index) =>
      new Promise<void>((resolve) => {
        const request = { address, id: `p-${index}`, path, headers, onAnswer: resolve };
        answers.push(callRouter({ ...request, bodyBytes: piecesBody.length }));
      }),
  );
  await Promise.race([Promise.all(begins), Promise.all(answers)]);
  return answers;
}

When(/^callers read answers in pieces$/, STEP, async () => {
  scenario.piecesAnswers = await Promise.all(await beginAnswers());
});

When(/^callers read answers in pieces, and the router ends by (.*)$/, STEP, async (end: string) => {
  const answers = await beginAnswers();
  await delay(READ_MS);
  scenario.piecesRouter!.process.signal(SIGNALS[end] ?? assert.fail(end));
  scenario.piecesAnswers = await Promise.all(answers);
});

Then('all answers in pieces are broken off in the middle', () => {
  assert.deepEqual(countEnds(scenario.piecesAnswers), { 'broken off': CALLERS });
  scenario.piecesAnswers.forEach(({ body }) => {
    assert.ok(body.length > 0 && body.length < scenario.piecesBody.length, `${body.length} bytes`);
    assert.ok(scenario.piecesBody.subarray(0, body.length).equals(body));
  });
});

Then("all answers in pieces are whole, byte for byte the servers'", () => {
  assert.deepEqual(countEnds(scenario.piecesAnswers), { whole: CALLERS });
  scenario.piecesAnswers.forEach(({ body }) => assert.ok(scenario.piecesBody.equals(body)));
});
