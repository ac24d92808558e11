/* eslint n/no-sync: "off" */
/* eslint-disable */
import { runCase, TROUBLE } from '../lib-2/case.mjs';
import { configuration, Fleet, nextId, properHeaders, send, sleep } from '../lib-2/fleet.mjs';
import { PlatformServer } from '../lib-2/server.mjs';
import { Store } from '../lib-2/store.mjs';

const STREAMS = 12;
const EVENTS = 40;
const EVENT_MS = 50;
/** Time after which a killed process is started again; `for_s` of node_kill in the site file. */
const DOWN_MS = 3500;

await runCase(import.meta.dirname, async ({ record, later }) => {
  const store = await Store.create();
  later(() => store.close());
  store.put('keyed.op', 'config', configuration());
  const servers = [];
  // A stream with neither a length nor chunks, which ends with its connection.
  const answer = async (request, response, entry, server) => {
    const last = Number(request.headers['last-event-id'] ?? 0);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'Server-Seal': `seal.${server.id}`,
      'Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
      Connection: 'close',
    });
    for (let event = last + 1; event <= EVENTS && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
      entry.events = event;
      await sleep(EVENT_MS);
    }
    response.end();
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
  await sleep(4000);

  record(
    `${STREAMS} streams of ${EVENTS} events over the three machines; their servers send no length`,
  );
  const calls = Array.from({ length: STREAMS }, async (_, index) => {
    const id = nextId();
    const host = fleet.hosts[index % 3];
    const part = (0x1000 + index).toString(16);
    const more = {
      Model: 'm',
      'Token-Count': '900,40',
      'Prompt-Prefix': `5c1e07a2:800,${part}:100`,
    };
    const headers = properHeaders(id, { ...more, 'Deadline-Ms': '14000' });
    const options = { host, port: fleet.ports.front, path: '/plan/2f', method: 'POST', headers };
    const answered = await send({ ...options, body: `body of ${id}`, timeoutMs: 14_500 });
    return { ...answered, id, machine: 1 + (index % 3) };
  });
  await sleep(1000);
  if (TROUBLE) {
    record('SIGKILL to the process of machine 1, in the middle of its streams');
    const [machine] = fleet.machines;
    machine.stopped = true;
    machine.child.kill('SIGKILL');
    await sleep(DOWN_MS);
    fleet.startMachine(0);
  }
  let broken = 0;
  const runs = new Map(
    servers.flatMap(({ id, requests }) =>
      requests.filter(({ run }) => run).map((run) => [run.id, { ...run, server: id }]),
    ),
  );
  for (const { id, machine, status, error, body } of await Promise.all(calls)) {
    const ids = (body.match(/(?<=id: )\d+/g) ?? []).map(Number);
    const whole = ids.length === EVENTS && ids.every((event, at) => event === at + 1);
    const looksComplete = error === undefined;
    if (status === 200 && looksComplete && !whole) broken += 1;
    record(
      `  ${id} at machine ${machine}, ${runs.get(id)?.server}: status ${status}, events 1 to ` +
        `${ids.at(-1)} of ${EVENTS}, ${looksComplete ? 'a regular end' : `broken off (${error})`}`,
    );
  }
  record(`answers that ended early and look complete: ${broken}`);
  record(`processes that ended by themselves: ${fleet.ends.length}`);
  return broken > 0 ? 'an answer that ended early looks complete' : undefined;
});
