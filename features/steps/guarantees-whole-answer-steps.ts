import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { countHolds } from '../../harness/engine-record.js';
import { startFleet } from '../../harness/fleet.js';
import { planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import {
  requestCompletions,
  checkCompletions,
  countCodes,
  type CompletionWorld,
} from '../support/guarantees-completions.js';
import { addCut } from '../support/guarantees-cuts.js';
import { startOrderFleet, type OrderWorld } from '../support/guarantees-orders.js';

type WholeAnswerWorld = CompletionWorld & OrderWorld;

const scenario = world as unknown as WholeAnswerWorld;

/**
 * Time limit between two tokens, in milliseconds; short, so that stalled streams are resumed soon.
 */
const BETWEEN_TOKENS_MS = 400;

/** Time limit for releasing the memory of ended requests, in milliseconds. */
const RELEASE_TIMEOUT_MS = 10_000;

/** Long enough to run a request again after the failed servers have been avoided. */
const LONG_TIMEOUT_PRESET = { name: 'ordinary', queueMs: 8000, firstTokenMs: 8000 };

/** Connections cut at each server; a stream is resumed twice before it fails. */
const CUTS_PER_SERVER = 2;

/** Number of faults of each kind at each engine. */
const FAULTS_PER_KIND = 2;

const ENGINES = ['prefill-2', 'prefill-1', 'decode-1', 'decode-2'];

Given('the whole answers of a fleet with {int} daemon(s)', async (daemons: number) => {
  const settings = { timeouts: { betweenTokensMs: BETWEEN_TOKENS_MS } };
  await startOrderFleet(scenario, {
    ...{ daemons, prefills: 2, decodes: 2, settings },
    changes: [{ kind: 'put-preset', preset: LONG_TIMEOUT_PRESET }],
  });
});

Given(
  'the whole answers of a fleet with {int} daemon(s) and {int} decode slots',
  async (daemons: number, slots: number) => {
    const plan = planSmallFleet({ daemons, decodes: 1, services: 0 });
    const servers = plan.servers.map((server) => ({
      ...server,
      args: (server.args ?? []).map((arg, index, args) =>
        args[index - 1] === '--slots' ? String(slots) : arg,
      ),
      fields: { ...server.fields, decodeSlots: slots },
    }));
    scenario.fleet = await startFleet({ ...plan, servers });
    scenario.callerKey = (await scenario.fleet.giveKey('oval-crew')).text;
  },
);

When('the whole answers to {int} completions are asked for', async (count: number) => {
  await requestCompletions(scenario, count);
});

When(
  'the whole answers to {int} completions are asked for while engines answer {string} with {string}',
  async (count: number, path: string, kinds: string) => {
    for (const kind of kinds.split(', ')) {
      await addEngineFault({ path, kind, count: FAULTS_PER_KIND });
    }
    await requestCompletions(scenario, count);
  },
);

When(
  'the whole answers to {int} completions are asked for while engines answer around their time-out',
  async (count: number) => {
    for (const offsetMs of [-20, -5, 0, 5, 20]) {
      const delayMs = BETWEEN_TOKENS_MS + offsetMs;
      await addEngineFault({ path: '/v1/decode', kind: 'delay', count: 1, delayMs });
    }
    await requestCompletions(scenario, count);
  },
);

When(
  /^the whole answers to (\d+) completions are asked for while connections are cut (.+)$/,
  async (count: string, place: string) => {
    scenario.fleet.serverLinks.forEach((link) =>
      addCut(link, place, 'POST /v1/decode', CUTS_PER_SERVER),
    );
    await requestCompletions(scenario, Number(count));
  },
);

Then('the whole answers are {int}, each to its own request', async (count: number) => {
  const whole = await checkCompletions(scenario);
  assert.equal(whole, count, JSON.stringify(countCodes(scenario)));
});

Then(
  'the whole answers are fewer than {int}, and the others are refused correctly',
  async (count: number) => {
    const whole = await checkCompletions(scenario);
    assert.ok(whole > 0 && whole < count, JSON.stringify(countCodes(scenario)));
  },
);

Then('the whole answers hold no memory afterwards', async () => {
  await waitFor(
    'the engines to release all holds',
    async () => (await countHolds(scenario.fleet)) === 0,
    {
      timeoutMs: RELEASE_TIMEOUT_MS,
    },
  );
});

async function addEngineFault(fault: {
  path: string;
  kind: string;
  count: number;
  delayMs?: number;
}): Promise<void> {
  const engines = ENGINES.map((name) => scenario.fleet.servers.get(name));
  await Promise.all(engines.map((engine) => engine?.addFault(fault)));
}
