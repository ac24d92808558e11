import { replyError, type Call, type Reply } from './shared/call.js';
import { FaultList } from './shared/faults.js';
import { Link } from './shared/link.js';
import { parseCommonOptions, startStandIn } from './shared/start-stand-in.js';
import { writeBytes } from './shared/write-bytes.js';

const options = await parseCommonOptions('weight-store')
  .option('weights', {
    type: 'string',
    array: true,
    default: [],
    describe: 'files as MODEL/VERSION=BYTES',
  })
  .option('bytes-per-second', {
    type: 'number',
    default: 10_000_000,
    describe: 'rate that all downloads share',
  })
  .option('concurrent', { type: 'number', default: 2, describe: 'maximum concurrent downloads' })
  .parseAsync();

const files = new Map(
  (options.weights as string[]).map((entry) => {
    const [name = '', bytes = '0'] = entry.split('=');
    return [name, Number(bytes)] as const;
  }),
);
const link = Link.create(options.bytesPerSecond);
const downloads: { file: string; complete: boolean }[] = [];
let running = 0;

function handle(call: Call): Reply {
  const file = decodeURIComponent(call.path.replace(/^\/v1\/weights\//, ''));
  const bytes = files.get(file);
  if (call.method !== 'GET' || bytes === undefined) return replyError(404, `no weights ${file}`);
  if (running >= options.concurrent) return replyError(429, 'too many downloads');
  const headers = {
    'content-type': 'application/octet-stream',
    'content-length': String(bytes),
  };
  return {
    status: 200,
    headers,
    write: async (response) => {
      running += 1;
      response.once('close', () => {
        running -= 1;
      });
      downloads.push({ file, complete: await writeBytes(response, bytes, link) });
    },
  };
}

function setState(body: Record<string, unknown>): string | undefined {
  const entries = Object.entries(body);
  if (entries.some(([, bytes]) => typeof bytes !== 'number')) return 'each size must be a number';
  entries.forEach(([name, bytes]) => files.set(name, bytes as number));
  return undefined;
}

await startStandIn(options, {
  name: 'weight-store',
  handler: handle,
  faults: FaultList.create(),
  admin: { readRecord: () => ({ downloads, running }), setState },
});
