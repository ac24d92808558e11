/* eslint n/no-sync: "off" */
/* eslint-disable */
// A pool of prefill and decode servers, of which one part of a prompt crashes each that writes an answer.
import { TROUBLE } from './case.mjs';
import { configuration, Fleet, nextId, properHeaders, send, sleep } from './fleet.mjs';
import { PlatformServer } from './server.mjs';
import { Store } from './store.mjs';

export const BAD = 'bad0bad0';

/** Time after which a crashed server is back. */
const BACK_MS = 4000;

export async function startPool(later) {
  const store = await Store.create();
  later(() => store.close());
  store.put('keyed.op', 'config', configuration());
  const crashes = [];
  const servers = [];
  const answer = async (_request, _response, entry, server) => {
    const parts = entry.headers['prompt-prefix'].split(',').map((part) => part.split(':')[0]);
    entry.bad = parts.slice(0, -1).includes(BAD);
    if (!entry.bad || !TROUBLE) return false;
    await sleep(30);
    if (!server.up) return true;
    crashes.push({ atMs: Date.now(), server: server.id });
    server.crash(BACK_MS);
    return true;
  };
  for (let index = 1; index <= 11; index += 1) {
    const stage = index <= 4 ? 'prefill' : 'decode';
    const options = { service: 'planner', slots: 48, maxConns: 290, stage };
    if (stage === 'decode') options.answer = answer;
    const server = await PlatformServer.create(store, `i-${stage}${index}`, options);
    later(() => server.close());
    servers.push(server);
  }
  const fleet = await Fleet.create(store, 3, later);
  await sleep(3500);
  let turn = 0;
  let unique = 0x1000;
  /** Sends a request with parts that others share and a last one of its own, at one machine after the other. */
  const ask = async (parts) => {
    const id = nextId();
    unique += 1;
    turn += 1;
    const prompt = [...parts, `${unique.toString(16)}:100`].join(',');
    const tokens = prompt.split(',').reduce((sum, part) => sum + Number(part.split(':')[1]), 0);
    const more = { Model: 'm', 'Token-Count': `${tokens},40`, 'Prompt-Prefix': prompt };
    const headers = properHeaders(id, { ...more, 'Deadline-Ms': '14000' });
    const host = fleet.hosts[turn % fleet.hosts.length];
    const options = { host, port: fleet.ports.front, path: `/plan/${unique}`, method: 'POST' };
    const body = `${id} ${'x'.repeat(500)}`;
    const result = await send({ ...options, headers, body, timeoutMs: 14_500 });
    return { ...result, id, host };
  };
  const runs = () => servers.flatMap((server) => server.requests.filter(({ run }) => run));
  /** Requests that began to run at a server. */
  const begun = (answers) => {
    const ids = new Set(runs().map(({ id }) => id));
    return answers.filter(({ id }) => ids.has(id)).length;
  };
  return { fleet, servers, crashes, ask, runs, begun };
}
