import assert from 'node:assert/strict';

import { type DataTable, Then, world } from '@cucumber/cucumber';

import type { LaunchedStandIn } from '../../harness/stand-in-launcher.js';
import { waitFor } from '../../harness/wait-for.js';
import { buildAttempt, countHolds, prepareDecode, readDecode } from '../support/engine-client.js';

interface EngineWorld {
  engines: Record<'prefill' | 'decode', LaunchedStandIn>;
}

const scenario = world as unknown as EngineWorld;

const { owner } = buildAttempt('a1');

async function assertHoldCounts(engine: LaunchedStandIn, table: DataTable): Promise<void> {
  for (const { filter = '', holds } of table.hashes()) {
    const query = filter.replace('OWNER', encodeURIComponent(`${owner.vm}/${owner.incarnation}`));
    assert.equal(await countHolds(engine, query), Number(holds), `filter "${filter}"`);
  }
}

Then('the decode engine lists holds by filter:', async (table: DataTable) => {
  await assertHoldCounts(scenario.engines.decode, table);
});

Then(
  'during a decode of {int} tokens the decode engine lists holds by filter:',
  async (maxTokens: number, table: DataTable) => {
    const { decode, prefill } = scenario.engines;
    await waitFor('the engine to have no holds', async () => (await countHolds(decode)) === 0);
    const attempt = buildAttempt('a2');
    const ready = await prepareDecode(decode.address, prefill.address, attempt, 'hello');
    const { reservationId } = ready;
    const body = { ...attempt, reservationId, maxTokens, fromIndex: 0 };
    const stream = readDecode(decode.address, body);
    await waitFor(
      'the decode call to use its hold',
      async () => (await countHolds(decode, 'idleMs=1')) === 0,
    );
    await assertHoldCounts(decode, table);
    assert.equal((await stream).events.at(-1)?.end, 'length');
  },
);
