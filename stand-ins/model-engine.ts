import { z } from 'zod';

import { createEngineHandler } from './engine/engine-handler.js';
import { EngineHistory } from './engine/engine-history.js';
import { EngineState } from './engine/engine-state.js';
import { parseEngineOptions } from './engine/options.js';
import { Orders } from './engine/orders.js';
import { FaultList } from './shared/faults.js';
import { HeaderRecord } from './shared/header-record.js';
import { startStandIn } from './shared/start-stand-in.js';

const stateSchema = z.strictObject({
  draining: z.boolean().optional(),
  restart: z.boolean().optional(),
});

const options = await parseEngineOptions();
const faults = FaultList.create();
const headers = HeaderRecord.create();
const orders = Orders.create(options.checksFencing);
const history = EngineHistory.create();
let state = EngineState.create(options, history);
let maxBlocksUsed = 0;

function collectRecord() {
  maxBlocksUsed = Math.max(maxBlocksUsed, state.memory.maxBlocksUsed);
  return {
    attempts: history.attempts.list(),
    holds: state.memory.list(),
    headers: headers.list(),
    orders: orders.accepted,
    maxBlocksUsed,
    ...history.totals(),
  };
}

function setState(body: Record<string, unknown>): string | undefined {
  const parsed = stateSchema.safeParse(body);
  if (!parsed.success) return z.prettifyError(parsed.error);
  if (parsed.data.restart) restart();
  state.draining = parsed.data.draining ?? state.draining;
  return undefined;
}

function restart(): void {
  maxBlocksUsed = Math.max(maxBlocksUsed, state.memory.maxBlocksUsed);
  state.shutDown();
  state = EngineState.create(options, history);
}

await startStandIn(options, {
  name: 'model-engine',
  handler: createEngineHandler(() => state, orders, faults),
  faults,
  admin: { readRecord: collectRecord, setState },
  observe: (request) => headers.add(request.headers),
});
