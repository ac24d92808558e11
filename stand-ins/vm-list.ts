import { replyError, replyJson, type Call, type Reply } from './shared/call.js';
import { FaultList } from './shared/faults.js';
import { parseCommonOptions, startStandIn } from './shared/start-stand-in.js';

interface Listing {
  readonly vms: readonly unknown[];
  readonly servers: readonly unknown[];
}

const options = await parseCommonOptions('vm-list')
  .option('lag-ms', { type: 'number', default: 0, describe: 'delay until a new list is served' })
  .option('list', { type: 'string', default: '{}', describe: 'initial list, as JSON' })
  .parseAsync();

let next: Listing = { vms: [], servers: [], ...(JSON.parse(options.list) as Partial<Listing>) };
let shown = next;
let reads = 0;

function handle(call: Call): Reply {
  if (call.method !== 'GET' || call.path !== '/v1/vms') return replyError(404, 'unknown path');
  reads += 1;
  return replyJson(200, shown);
}

function setState(body: Record<string, unknown>): string | undefined {
  const { vms = next.vms, servers = next.servers } = body;
  if (!Array.isArray(vms) || !Array.isArray(servers)) return 'vms and servers must be arrays';
  const listing = { vms, servers };
  next = listing;
  setTimeout(() => {
    shown = listing;
  }, options.lagMs);
  return undefined;
}

await startStandIn(options, {
  name: 'vm-list',
  handler: handle,
  faults: FaultList.create(),
  admin: { readRecord: () => ({ reads, shown, next }), setState },
});
