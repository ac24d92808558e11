import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import { waitFor } from '../../harness/wait-for.js';
import { ORDER_PHASES, addYardDelay } from '../support/guarantees-order-phases.js';
import {
  INTENT_VALID_MS,
  checkOrders,
  describeAnswer,
  readOrderRecords,
  sendOrder,
  startOrderFleet,
  type OrderWorld,
} from '../support/guarantees-orders.js';

const scenario = world as unknown as OrderWorld;

/** Time limit until a dead daemon is fenced and removed, in milliseconds. */
const REMOVAL_TIMEOUT_MS = 25_000;

Given('the paint orders of a fleet with {int} daemons', async (daemons: number) => {
  await startOrderFleet(scenario, { daemons });
});

Given(
  'the paint orders of a fleet with {int} daemons and a window of {int} ms',
  async (daemons: number, windowMs: number) => {
    const idempotency = { intentMs: INTENT_VALID_MS, windowMs };
    await startOrderFleet(scenario, { daemons, settings: { idempotency } });
  },
);

Given('the paint orders take {int} ms at the yard', async (ms) => {
  if (ms > 0) await addYardDelay(scenario, ms as number);
});

When('a paint order reaches the phase {string} and its daemon is killed', async (phase: string) => {
  await ORDER_PHASES[phase]?.(scenario);
  await daemonOf(scenario.fleet, 1).process.kill();
});

When(
  "a paint order reaches the phase {string} and its daemon is frozen past the intent's deadline",
  async (phase: string) => {
    await ORDER_PHASES[phase]?.(scenario);
    const { process } = daemonOf(scenario.fleet, 1);
    process.pause();
    const deadlineMs = performance.now() + INTENT_VALID_MS;
    await waitFor("the intent's deadline", () => performance.now() > deadlineMs);
  },
);

When(
  'the paint order is sent again to daemon {int} when the frozen daemon is resumed',
  async (daemon: number) => {
    daemonOf(scenario.fleet, 1).process.resume();
    await scenario.sent[0]?.answer;
    await sendOrder(scenario, daemon).answer;
  },
);

When(
  'the paint order is sent again to daemon {int} before the daemon is resumed',
  async (daemon: number) => {
    await sendOrder(scenario, daemon).answer;
    daemonOf(scenario.fleet, 1).process.resume();
    await scenario.sent[0]?.answer;
  },
);

When('the paint order is sent again to daemon {int} at once', async (daemon: number) => {
  await sendOrder(scenario, daemon).answer;
});

When(
  'the paint order is sent again to daemon {int} after the dead daemon was removed',
  async (daemon: number) => {
    const isRemoved = async () => {
      const { streams } = await scenario.fleet.log.readRecord<{
        streams: Record<string, { data: string }[]>;
      }>();
      return streams.membership?.some(({ data }) => data.includes('"removed"'));
    };
    await waitFor('the removal of the dead daemon', isRemoved, { timeoutMs: REMOVAL_TIMEOUT_MS });
    await sendOrder(scenario, daemon).answer;
  },
);

When('the paint order is sent to daemon {int} with another body', async (daemon: number) => {
  await sendOrder(scenario, daemon, { body: 'four drums of red' }).answer;
});

When(
  'the paint order is sent again to daemon {int} when its key is older than the window',
  async (daemon: number) => {
    const [intent] = await readOrderRecords(scenario);
    assert.ok(intent?.kind === 'intent');
    await waitFor('the end of the idempotency window', () => Date.now() > intent.issuedMs + 2500);
    await sendOrder(scenario, daemon).answer;
  },
);

When('{int} copies of a paint order are sent to all daemons at once', async (copies: number) => {
  const { length } = scenario.fleet.daemons;
  for (let copy = 0; copy < copies; copy += 1) sendOrder(scenario, 1 + (copy % length));
  await Promise.all(scenario.sent.map(({ answer }) => answer));
});

Then('the paint orders were answered {string}', async (expected: string) => {
  const answers = await Promise.all(scenario.sent.map(({ answer }) => answer));
  assert.equal(answers.map(describeAnswer).join('; '), expected);
});

Then(
  'one paint order was answered {string} and the others {string}',
  async (one: string, others: string) => {
    const answers = await Promise.all(scenario.sent.map(({ answer }) => answer));
    const expected = [one, ...answers.slice(1).map(() => others)];
    assert.deepEqual(answers.map(describeAnswer).sort(), expected.sort());
  },
);

Then('the paint order had {int} effect', { timeout: 20_000 }, async (effects: number) => {
  assert.equal((await checkOrders(scenario)).length, effects);
});
