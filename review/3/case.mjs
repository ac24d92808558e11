/* eslint n/no-sync: "off" */
/* eslint-disable */
// A router gets SIGTERM while a long stream runs and its clients, which can get no other address, go on.
// Requests that it takes and passes on must be answered. Exit 1: rule broken, 0: held, 2: could not run.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildConfiguration, Client, Deployment, sleep } from '../lib/deployment.mjs';
import { EngineServer, listTraffic, PlainServer } from '../lib/servers.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const GRACE_MS = 8000;
const TIMEOUT_MS = 2000;
const DEADLINE_MS = 4000;
const PER_SECOND = 50; // the sheet of nicovala-rute: 35.9 reservations and 14.4 look-ups a second
const WORK_MS = 86; // its work for either
const STREAM_EVENTS = 130; // the most pieces of a stream there
const STREAM_GAP_MS = 100; // below the 300 ms that its goal for pauses allows
const TERM_AT_MS = 3000;
const LENGTH_MS = 15_000;

const record = [];
const servers = [];
let deployment;
try {
  deployment = await Deployment.create({
    configuration: buildConfiguration({ order: { timeoutMs: TIMEOUT_MS, latencyTargetMs: 386 } }),
  });
  for (let index = 1; index <= 3; index += 1) {
    const server = new PlainServer(`i-yard-${index}`, { workMs: WORK_MS });
    servers.push(server);
  }
  const engine = new EngineServer('i-engine-1', { events: STREAM_EVENTS, gapMs: STREAM_GAP_MS });
  servers.push(engine);
  for (const server of servers) {
    await server.listen();
    deployment.store.putServer(server.id, server.entry());
  }
  await deployment.start();
  const [router] = deployment.routers;
  await sleep(3000);
  const startMs = performance.now();
  const since = () => Math.round(performance.now() - startMs);

  // Clients ask for addresses once a second, as the answers say, and keep the old ones when they get none.
  const lookUps = { given: 0, refused: 0, withoutRouter: 0 };
  let listed = true;
  const lookUp = setInterval(async () => {
    try {
      const reply = await fetch(
        `http://${router.host}:${router.directory}/resolve?name=plans.example&region=tt-south&zone=sando`,
        { signal: AbortSignal.timeout(1000) },
      );
      const { addresses = [] } = await reply.json();
      if (reply.status !== 200 || addresses.length === 0) lookUps.refused += 1;
      else {
        lookUps.given += 1;
        listed = addresses.includes(router.settings.listen.front);
        if (!listed) lookUps.withoutRouter += 1;
      }
    } catch {
      lookUps.refused += 1;
    }
  }, 1000);

  // The stream starts a second before SIGTERM and takes 13 s.
  const streamClient = new Client(router.host, router.front);
  let stream;
  const streaming = sleep(TERM_AT_MS - 1000).then(async () => {
    stream = await streamClient.request({
      path: '/plan/1',
      body: 'survey',
      headers: { Model: 'm', 'Token-Count': '5000,130', 'Prompt-Prefix': 'aa:200,bb:4800' },
      deadlineMs: 14_000,
    });
  });

  let termMs;
  let exitMs;
  router.onExit = () => {
    exitMs = performance.now();
  };
  if (TROUBLE) {
    setTimeout(() => {
      termMs = performance.now();
      record.push(`${since()} ms: SIGTERM to ${router.name}`);
      router.kill('SIGTERM');
    }, TERM_AT_MS);
  }

  const answers = [];
  const idle = [];
  const pending = [];
  let sent = 0;
  while (performance.now() - startMs < LENGTH_MS && router.running) {
    await sleep(Math.max(0, startMs + (sent * 1000) / PER_SECOND - performance.now()));
    if (!router.running || !listed) break;
    let client = idle.pop();
    while (client && !client.usable) client = idle.pop();
    client ??= new Client(router.host, router.front);
    sent += 1;
    const unsafe = sent % 7 < 5;
    const work = unsafe
      ? { path: `/order/${sent}`, body: JSON.stringify({ order: sent, text: 'y'.repeat(600) }) }
      : { path: `/lookup/${sent}`, method: 'GET' };
    pending.push(
      client.request({ ...work, deadlineMs: DEADLINE_MS }).then((answer) => {
        answers.push({ ...answer, unsafe, endedMs: performance.now() });
        if (client.usable && answer.complete) idle.push(client);
        else client.close();
      }),
    );
  }
  await Promise.all([...pending, TROUBLE ? undefined : streaming]);
  clearInterval(lookUp);
  if (exitMs) record.push(`${Math.round(exitMs - startMs)} ms: ${router.name} ended by itself`);

  const runs = new Map(servers.flatMap(({ arrivals }) => arrivals.map((each) => [each.id, each])));
  // LOST, around a SIGTERM until 1 s after graceS: passed on to a server, and the connection ended without
  // a complete answer; not if its time was over or the request is excused by the last sixth of graceS.
  const lost = answers.filter(({ id, complete, tookMs, sentMs, endedMs }) => {
    const run = runs.get(id);
    if (complete || !run?.ran || tookMs >= TIMEOUT_MS) return false;
    if (termMs === undefined || sentMs > termMs + GRACE_MS + 1000) return false;
    const lastSixth = endedMs >= termMs + (GRACE_MS * 5) / 6;
    return !(lastSixth && sentMs <= termMs + 3000);
  });
  record.push(
    `sent ${sent}, answered 200: ${answers.filter(({ status }) => status === 200).length}`,
    `look-ups: ${JSON.stringify(lookUps)}`,
    `stream: ${stream ? `${stream.status}, complete: ${stream.complete}` : 'not ended'}`,
    `requests run by a server whose connection ended without an answer: ${lost.length}, of these unsafe: ${lost.filter(({ unsafe }) => unsafe).length}`,
    `rule ${lost.length > 0 ? 'BROKEN' : 'held'}`,
    ...lost.map(
      ({ id, path, sentMs, endedMs, how }) =>
        `${path} ${id}: sent ${Math.round(sentMs - termMs)} ms after SIGTERM, run by ${runs.get(id).server}, connection ended (${how}) ${Math.round(endedMs - sentMs)} ms later, ${TIMEOUT_MS} ms allowed`,
    ),
    ...listTraffic(answers, servers, startMs),
  );
  process.exitCode = lost.length > 0 ? 1 : 0;
} catch (error) {
  record.push(`could not run: ${error.stack}`);
  process.exitCode = 2;
} finally {
  servers.forEach((server) => server.close());
  await deployment?.stop();
}
writeFileSync(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
  `${record.join('\n')}\n`,
);
console.log(record.slice(0, 12).join('\n'));
process.exit();
