import assert from 'node:assert/strict';

import { Given, Then, When, type DataTable } from '@cucumber/cucumber';

import { readEffects, readEngines } from '../../harness/engine-record.js';
import { MODEL } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { BODY_MS, CALLER_INPUTS } from '../support/guarantees-caller-inputs.js';
import { addYardDelay, waitForEffect } from '../support/guarantees-order-phases.js';
import {
  ORDERS,
  checkOrders,
  daemonOf,
  readOrderEffects,
  sendOrder,
  startOrderFleet,
  type OrderWorld,
} from '../support/guarantees-orders.js';
import {
  connectRawCaller,
  writeRequest,
  type RawAnswer,
  type RawCaller,
} from '../support/guarantees-raw-caller.js';

interface Row {
  readonly input: string;
  readonly status: string;
  readonly code: string;
}

interface CallerInputWorld extends OrderWorld {
  rows: readonly { readonly row: Row; readonly answer: RawAnswer }[];
  answer: RawAnswer;
}

/** Time that the yard takes while a test writes more bytes, in milliseconds. */
const YARD_MS = 700;

const MALFORMED = 'PAINT IT\r\n\r\n';

Given(
  'the caller input of a fleet with {int} daemon(s)',
  async function given(this: CallerInputWorld, daemons: number) {
    const settings = { limits: { bodyMs: BODY_MS } };
    await startOrderFleet(this, { daemons, services: 1, prefills: 1, decodes: 1, settings });
  },
);

When(
  'the caller input of each row is sent on a connection of its own:',
  async function when(this: CallerInputWorld, table: DataTable) {
    const rows = table.hashes() as unknown as Row[];
    this.rows = await Promise.all(
      rows.map(async (row) => {
        const caller = connect(this);
        const input = CALLER_INPUTS[row.input];
        assert.ok(input, `no input ${row.input}`);
        input(caller, this);
        return { row, answer: await caller.readAnswer() };
      }),
    );
  },
);

Then(
  'the caller input of each row got one response with its status, its code, "not run" and a request id',
  function then(this: CallerInputWorld) {
    const describe = (statuses: readonly number[], code?: string, run?: string) =>
      `${statuses.join(' ')} ${code}, ${run}`;
    const seen = this.rows.map(({ row, answer }) => {
      const { statuses, code, run, requestId } = answer;
      const id = requestId?.startsWith('req-') ? '' : `, id ${requestId}`;
      return `${row.input}: ${describe(statuses, code, run)}${id}`;
    });
    const expected = this.rows.map(
      ({ row }) => `${row.input}: ${describe([Number(row.status)], row.code, 'not run')}`,
    );
    assert.deepEqual(seen, expected);
  },
);

Then('the caller input had no effect at any server', async function then(this: CallerInputWorld) {
  const attempts = [...(await readEngines(this.fleet)).values()].flatMap((one) => one.attempts);
  assert.deepEqual([...attempts, ...(await readEffects(this.fleet))], []);
});

When(
  'the caller input is an order in progress followed by malformed bytes',
  async function when(this: CallerInputWorld) {
    const caller = await bringOrderToYard(this);
    caller.write(MALFORMED);
    this.answer = await caller.readAnswer();
  },
);

When(
  'the caller input is a stream in progress followed by malformed bytes',
  async function when(this: CallerInputWorld) {
    const caller = connect(this);
    const body = { model: MODEL, prompt: 'survey', max_tokens: 100, stream: true };
    const headers = [`authorization: Bearer ${this.callerKey}`];
    caller.write(writeRequest('POST /v1/completions', headers, JSON.stringify(body)));
    await waitFor('tokens', () => caller.received().split('data: ').length > 5);
    caller.write(MALFORMED);
    this.answer = await caller.readAnswer();
  },
);

Then(
  'the caller input got no response that says "not run" for an order with an effect',
  async function then(this: CallerInputWorld) {
    const effects = await readOrderEffects(this);
    assert.equal(effects.length, 1);
    assert.notEqual(this.answer.run, 'not run', this.answer.text);
  },
);

Then('the caller input got one response', function then(this: CallerInputWorld) {
  assert.deepEqual(this.answer.statuses, [200], this.answer.text.slice(-300));
});

When(
  'the caller input is an order whose connection is cut before the body',
  function when(this: CallerInputWorld) {
    return cutAfterWrite(this, (text) => text.slice(0, text.indexOf('\r\n\r\n') + 4));
  },
);

When(
  'the caller input is an order whose connection is cut in the body',
  function when(this: CallerInputWorld) {
    return cutAfterWrite(this, (text) => text.slice(0, -3));
  },
);

When(
  'the caller input is an order whose connection is cut after the body',
  function when(this: CallerInputWorld) {
    return cutAfterWrite(this, (text) => text);
  },
);

When(
  'the caller input is an order whose connection is cut at the yard',
  async function when(this: CallerInputWorld) {
    const caller = await bringOrderToYard(this);
    caller.cut();
  },
);

Then(
  'the caller input sent again as a whole order is answered {int} with {int} effect',
  async function then(this: CallerInputWorld, status: number, effects: number) {
    const answer = await sendOrder(this, 1).answer;
    assert.equal(answer?.status, status, answer?.text);
    assert.equal((await checkOrders(this)).length, effects);
  },
);

function connect(world: CallerInputWorld): RawCaller {
  return connectRawCaller(daemonOf(world.fleet, 1).callers);
}

function writeOrder({ callerKey, idempotencyKey }: CallerInputWorld): string {
  const headers = [`authorization: Bearer ${callerKey}`, `idempotency-key: ${idempotencyKey}`];
  return writeRequest(`POST ${ORDERS}`, headers, 'three drums of white');
}

async function bringOrderToYard(world: CallerInputWorld): Promise<RawCaller> {
  await addYardDelay(world, YARD_MS);
  const caller = connect(world);
  caller.write(writeOrder(world));
  await waitForEffect(world);
  return caller;
}

async function cutAfterWrite(
  world: CallerInputWorld,
  choose: (text: string) => string,
): Promise<void> {
  const caller = connect(world);
  caller.write(choose(writeOrder(world)));
  // A reset in the same turn could overtake the bytes before the daemon has read them.
  await waitFor('the daemon to be reached', () => caller.isConnected());
  caller.cut();
}
