import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import { callService, type CallerAnswer } from '../../harness/caller-client.js';
import { readEffects } from '../../harness/engine-record.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { addCut } from '../support/guarantees-cuts.js';
import {
  ORDERS_ROUTE,
  ORDER_TIMEOUT_MS,
  checkOrders,
  sendOrder,
  type OrderWorld,
} from '../support/guarantees-orders.js';

interface WholeServiceWorld extends OrderWorld {
  lookups: { readonly path: string; readonly answer: CallerAnswer }[];
  /** One world per order, because each order has its own idempotency key. */
  orders: OrderWorld[];
}

const scenario = world as unknown as WholeServiceWorld;

const JOBS_ROUTE = '/services/yard/jobs';

const CUTS_PER_KIND = 3;

When(
  /^the whole answers to (\d+) lookups and (\d+) orders are asked for while connections are cut (.+)$/,
  async (lookups: string, orders: string, place: string) => {
    scenario.fleet.serverLinks.forEach((link) => {
      addCut(link, place, `GET ${JOBS_ROUTE}`, CUTS_PER_KIND);
      addCut(link, place, `POST ${ORDERS_ROUTE}`, CUTS_PER_KIND);
    });
    await Promise.all([sendLookups(Number(lookups)), sendOrders(Number(orders))]);
  },
);

When(
  'the whole answers to {int} orders are asked for while the yard answers around its time-out',
  async (count: number) => {
    const yards = [...scenario.fleet.servers].filter(([name]) => name.startsWith('yard'));
    for (const offsetMs of [-100, -20, -5, 0, 5, 20]) {
      const fault = { kind: 'delay', count: 1, delayMs: ORDER_TIMEOUT_MS + offsetMs };
      await Promise.all(yards.map(([, yard]) => yard.addFault(fault)));
    }
    await sendOrders(count);
  },
);

Then('the whole answers to lookups are those that the yard gave', async () => {
  const effects = await readEffects(scenario.fleet);
  scenario.lookups.forEach(({ path, answer }) => {
    if (answer.run === 'not run') {
      assert.ok(!effects.some(({ requestId }) => requestId === answer.requestId), answer.text);
    }
    if (answer.status !== 200) return;
    const given = JSON.parse(answer.text) as { path: string; attemptId: string };
    const effect = effects.find(({ attemptId }) => attemptId === given.attemptId);
    assert.deepEqual([given.path, effect?.requestId], [path, answer.requestId]);
  });
  const answered = scenario.lookups.filter(({ answer }) => answer.status === 200);
  assert.ok(answered.length > 0, JSON.stringify(scenario.lookups.map(({ answer }) => answer.code)));
});

Then(
  'the whole answers to orders have at most one effect each, also when they are sent again',
  async () => {
    await Promise.all(
      scenario.orders.map(async (order, index) => {
        const first = await order.sent[0]?.answer;
        const again = await sendOrder(order, 1 + ((index + 1) % 2)).answer;
        const effects = await checkOrders(order);
        if (first?.run === 'unknown') assert.equal(again?.code, 'outcome_unknown', again?.text);
        else assert.deepEqual([again?.status, effects.length], [200, 1], again?.text);
      }),
    );
  },
);

async function sendLookups(count: number): Promise<void> {
  const ask = async (_: unknown, index: number) => {
    const path = `${JOBS_ROUTE}/${index}`;
    const call = { method: 'GET' as const, path, key: scenario.callerKey };
    const { callers } = daemonOf(scenario.fleet, 1 + (index % 2));
    return { path, answer: await callService(callers, call) };
  };
  Object.assign(scenario, { lookups: await Promise.all(Array.from({ length: count }, ask)) });
}

async function sendOrders(count: number): Promise<void> {
  const { fleet, callerKey } = scenario;
  const orders = Array.from({ length: count }, (): OrderWorld => ({
    fleet,
    callerKey,
    idempotencyKey: createIdempotencyKey(),
    sent: [],
  }));
  scenario.orders = orders;
  await Promise.all(orders.map((order, index) => sendOrder(order, 1 + (index % 2)).answer));
}
