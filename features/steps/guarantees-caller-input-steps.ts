import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import { readEffects, readEngines } from '../../harness/engine-record.js';
import { MODEL } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { BODY_TIMEOUT_MS, CALLER_INPUTS } from '../support/guarantees-caller-inputs.js';
import { addYardDelay, waitForEffect } from '../support/guarantees-order-phases.js';
import {
  ORDERS_ROUTE,
  checkOrders,
  readOrderEffects,
  sendOrder,
  startOrderFleet,
  type OrderWorld,
} from '../support/guarantees-orders.js';
import {
  connectRawCaller,
  formatRequest,
  type RawAnswer,
  type RawCaller,
} from '../support/guarantees-raw-caller.js';

interface InputRow {
  readonly input: string;
  readonly status: string;
  readonly code: string;
}

interface CallerInputWorld extends OrderWorld {
  rows: readonly { readonly row: InputRow; readonly answer: RawAnswer }[];
  answer: RawAnswer;
}

const scenario = world as unknown as CallerInputWorld;

/** Delay of the plain service's answer while a test writes more bytes, in milliseconds. */
const YARD_DELAY_MS = 700;

const MALFORMED_REQUEST = 'PAINT IT\r\n\r\n';

Given('the caller input of a fleet with {int} daemon(s)', async (daemons: number) => {
  const settings = { limits: { bodyMs: BODY_TIMEOUT_MS } };
  await startOrderFleet(scenario, { daemons, services: 1, prefills: 1, decodes: 1, settings });
});

When(
  'the caller input of each row is sent on a connection of its own:',
  async (table: DataTable) => {
    const rows = table.hashes() as unknown as InputRow[];
    scenario.rows = await Promise.all(
      rows.map(async (row) => {
        const caller = connect();
        const input = CALLER_INPUTS[row.input];
        assert.ok(input, `unknown caller input "${row.input}"`);
        input(caller, scenario);
        return { row, answer: await caller.readAnswer() };
      }),
    );
  },
);

Then(
  'the caller input of each row got one response with its status, its code, "not run" and a request id',
  () => {
    const describe = (statuses: readonly number[], code?: string, run?: string) =>
      `${statuses.join(' ')} ${code}, ${run}`;
    const seen = scenario.rows.map(({ row, answer }) => {
      const { statuses, code, run, requestId } = answer;
      const id = requestId?.startsWith('req-') ? '' : `, id ${requestId}`;
      return `${row.input}: ${describe(statuses, code, run)}${id}`;
    });
    const expected = scenario.rows.map(
      ({ row }) => `${row.input}: ${describe([Number(row.status)], row.code, 'not run')}`,
    );
    assert.deepEqual(seen, expected);
  },
);

Then('the caller input had no effect at any server', async () => {
  const attempts = [...(await readEngines(scenario.fleet)).values()].flatMap((one) => one.attempts);
  assert.deepEqual([...attempts, ...(await readEffects(scenario.fleet))], []);
});

When('the caller input is an order in progress followed by malformed bytes', async () => {
  const caller = await startOrderAtYard();
  caller.write(MALFORMED_REQUEST);
  scenario.answer = await caller.readAnswer();
});

When('the caller input is a stream in progress followed by malformed bytes', async () => {
  const caller = connect();
  const body = { model: MODEL, prompt: 'survey', max_tokens: 100, stream: true };
  const headers = [`authorization: Bearer ${scenario.callerKey}`];
  caller.write(formatRequest('POST /v1/completions', headers, JSON.stringify(body)));
  await waitFor('tokens of the stream', () => caller.received().split('data: ').length > 5);
  caller.write(MALFORMED_REQUEST);
  scenario.answer = await caller.readAnswer();
});

Then(
  'the caller input got no response that says "not run" for an order with an effect',
  async () => {
    const effects = await readOrderEffects(scenario);
    assert.equal(effects.length, 1);
    assert.notEqual(scenario.answer.run, 'not run', scenario.answer.text);
  },
);

Then('the caller input got one response', () => {
  assert.deepEqual(scenario.answer.statuses, [200], scenario.answer.text.slice(-300));
});

When('the caller input is an order whose connection is cut before the body', () =>
  sendPartAndCut((text) => text.slice(0, text.indexOf('\r\n\r\n') + 4)),
);

When('the caller input is an order whose connection is cut in the body', () =>
  sendPartAndCut((text) => text.slice(0, -3)),
);

When('the caller input is an order whose connection is cut after the body', () =>
  sendPartAndCut((text) => text),
);

When('the caller input is an order whose connection is cut at the yard', async () => {
  const caller = await startOrderAtYard();
  caller.cut();
});

Then(
  'the caller input sent again as a whole order is answered {int} with {int} effect',
  async (status: number, effects: number) => {
    const answer = await sendOrder(scenario, 1).answer;
    assert.equal(answer?.status, status, answer?.text);
    assert.equal((await checkOrders(scenario)).length, effects);
  },
);

function connect(): RawCaller {
  return connectRawCaller(daemonOf(scenario.fleet, 1).callers);
}

function formatOrder({ callerKey, idempotencyKey }: CallerInputWorld): string {
  const headers = [`authorization: Bearer ${callerKey}`, `idempotency-key: ${idempotencyKey}`];
  return formatRequest(`POST ${ORDERS_ROUTE}`, headers, 'three drums of white');
}

async function startOrderAtYard(): Promise<RawCaller> {
  await addYardDelay(scenario, YARD_DELAY_MS);
  const caller = connect();
  caller.write(formatOrder(scenario));
  await waitForEffect(scenario);
  return caller;
}

async function sendPartAndCut(selectPart: (text: string) => string): Promise<void> {
  const caller = connect();
  caller.write(selectPart(formatOrder(scenario)));
  // A reset in the same event loop turn could reach the daemon before it has read the bytes.
  await waitFor('the connection to the daemon', () => caller.isConnected());
  caller.cut();
}
