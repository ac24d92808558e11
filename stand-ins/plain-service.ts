import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import { replyJson, type Call, type Reply } from './shared/call.js';
import { FaultList } from './shared/faults.js';
import { HeaderRecord } from './shared/header-record.js';
import { parseCommonOptions, startStandIn } from './shared/start-stand-in.js';

const options = await parseCommonOptions('plain-service')
  .option('service-ms', {
    type: 'number',
    default: 5,
    describe: 'time from the recorded effect to the answer',
  })
  .parseAsync();

const effects: unknown[] = [];
const headers = HeaderRecord.create();
let draining = false;

function recordEffect(call: Call): string {
  const bodyHash = createHash('sha256').update(call.body).digest('hex');
  effects.push({
    attemptId: call.headers['x-attempt-id'],
    requestId: call.headers['x-request-id'],
    team: call.headers['x-team'],
    method: call.method,
    path: call.path,
    bodyHash,
    atMs: Date.now(),
    headers: call.headers,
  });
  return bodyHash;
}

async function handle(call: Call): Promise<Reply> {
  const bodyHash = recordEffect(call);
  const effect = effects.length;
  await delay(options.serviceMs);
  const attemptId = call.headers['x-attempt-id'];
  const reply = replyJson(200, {
    effect,
    attemptId,
    method: call.method,
    path: call.path,
    bodyHash,
  });
  return draining ? { ...reply, headers: { 'x-draining': '1' } } : reply;
}

function setState(body: Record<string, unknown>): string | undefined {
  if (typeof body.draining !== 'boolean') return 'draining must be a boolean';
  draining = body.draining;
  return undefined;
}

await startStandIn(options, {
  name: 'plain-service',
  handler: handle,
  faults: FaultList.create(),
  admin: { readRecord: () => ({ effects, headers: headers.list() }), setState },
  observe: (request) => headers.add(request.headers),
});
