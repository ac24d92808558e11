import { setTimeout as delay } from 'node:timers/promises';

import { z } from 'zod';

import { AppendRateLimiter } from './log/append-limit.js';
import { StreamStore, type LogState, type StreamPage } from './log/stream-store.js';
import { readJson, replyError, replyJson, type Call, type Reply } from './shared/call.js';
import { FaultList } from './shared/faults.js';
import { parseCommonOptions, startStandIn } from './shared/start-stand-in.js';

const RECORDS_PATH = /^\/v1\/streams\/([a-z0-9-]+)\/records$/;
const MAX_RECORD_BYTES = 262_144;

const options = await parseCommonOptions('log-service')
  .option('appends-per-second', {
    type: 'number',
    default: 500,
    describe: 'maximum append calls in 1 s',
  })
  .option('retention-ms', {
    type: 'number',
    default: 86_400_000,
    describe: 'age at which records are dropped',
  })
  .option('read-delay-ms', { type: 'number', default: 0, describe: 'delay added to each read' })
  .option('replica-port', { type: 'number', default: 0, describe: 'port of the replica' })
  .option('replica-lag-ms', {
    type: 'number',
    default: 0,
    describe: 'age at which the replica shows a record',
  })
  .parseAsync();

const bodySchema = z.object({
  records: z.array(z.string().refine((data) => Buffer.byteLength(data) <= MAX_RECORD_BYTES)).min(1),
});
const querySchema = z.object({
  from: z.coerce.number().int().min(1).default(1),
  limit: z.coerce.number().int().min(1).max(10_000).default(1000),
  waitMs: z.coerce.number().min(0).max(60_000).default(0),
});
const stateSchema = z.strictObject({
  retentionMs: z.number().nonnegative().optional(),
  appendsPerSecond: z.number().nonnegative().optional(),
  replicaLag: z.number().nonnegative().optional(),
});

const state: LogState = {
  retentionMs: options.retentionMs,
  appendsPerSecond: options.appendsPerSecond,
  replicaLag: options.replicaLagMs,
};
const store = StreamStore.create(state);
const rateLimiter = AppendRateLimiter.create();
let appends = 0;

async function handle(call: Call): Promise<Reply> {
  const name = RECORDS_PATH.exec(call.path)?.[1];
  if (!name) return replyError(404, 'unknown path');
  if (call.method === 'POST') return append(name, call);
  if (call.method === 'GET') return read(name, call);
  return replyError(405, 'unknown method');
}

function append(name: string, call: Call): Reply {
  const body = bodySchema.safeParse(readJson(call));
  if (!body.success) return replyError(400, z.prettifyError(body.error));
  if (!rateLimiter.tryAcquire(state.appendsPerSecond))
    return replyError(429, 'append rate exceeded');
  appends += 1;
  return replyJson(200, { firstOffset: store.append(name, body.data.records) });
}

async function read(name: string, call: Call): Promise<Reply> {
  const query = querySchema.safeParse(Object.fromEntries(call.query));
  if (!query.success) return replyError(400, z.prettifyError(query.error));
  const { from, limit: maxRecords, waitMs } = query.data;
  const replica = call.listener === 'replica';
  const deadlineMs = performance.now() + waitMs;
  const readPage = (): StreamPage => store.read(name, from, maxRecords, replica);
  let page = readPage();
  while (page.records.length === 0 && performance.now() < deadlineMs && !call.signal.aborted) {
    await store.waitForRecords(replica, deadlineMs - performance.now(), call.signal);
    page = readPage();
  }
  if (options.readDelayMs > 0) await delay(options.readDelayMs);
  return replyJson(200, page);
}

function setState(body: Record<string, unknown>): string | undefined {
  const parsed = stateSchema.safeParse(body);
  if (!parsed.success) return z.prettifyError(parsed.error);
  Object.assign(state, parsed.data);
  return undefined;
}

await startStandIn(options, {
  name: 'log-service',
  handler: handle,
  faults: FaultList.create(),
  admin: { readRecord: () => ({ streams: store.list(), appends }), setState },
  otherPorts: { replicaPort: options.replicaPort },
});
