/* eslint n/no-sync: "off" */
/* eslint-disable */
// Streams with one prompt part crash each engine that begins to write an answer on them, right after its
// first event. From stableWindowMs after the fifth crash on, at most three more may reach a server.
// Exit 1: rule broken, 0: held, 2: could not run.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildConfiguration, Client, Deployment, sleep } from '../lib/deployment.mjs';
import { EngineServer, listTraffic } from '../lib/servers.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** Events that leave a server before it crashes; 0 shows what the router does if there is none. */
const EVENTS_BEFORE = Number(process.env.EVENTS_BEFORE ?? 1);
const ENGINES = 8;
const STABLE_MS = 3000;
const BACK_MS = 3000;
const ENTRY_LAPSES_MS = 3600; // three heartbeats of 1,200 ms
const PER_SECOND = 9; // the sheet of nicovala-rute: 8.83 + 0.294 streams a second
const CRASHING_EACH_MS = 1200;
const LENGTH_MS = 40_000;

const record = [];
const engines = [];
const crashes = [];
let deployment;

async function startEngine() {
  const engine = new EngineServer(`i-engine-${engines.length + 1}`, {
    events: 70,
    gapMs: 20,
    slots: 16,
  });
  engines.push(engine);
  await engine.listen();
  const serve = engine.behave;
  engine.behave = (request) => {
    const isCrashing = (request.header('prompt-prefix') ?? '').includes('dead:');
    if (!isCrashing || !request.path.startsWith('/plan/')) return serve(request);
    request.crashing = true;
    const lines = [`Server-Seal: ${engine.id}.${request.id}`, 'Content-Type: text/event-stream'];
    request.socket.write(engine.head(request, '200 OK', [...lines, 'Transfer-Encoding: chunked']));
    setTimeout(() => {
      for (let number = 1; number <= EVENTS_BEFORE; number += 1) {
        const event = `id: ${number}\ndata: ${'t'.repeat(20)}\n\n`;
        request.socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      }
      setTimeout(() => crash(engine), 5);
    }, 20);
    return true;
  };
  deployment.store.putServer(engine.id, engine.entry());
}

/** Ends a server as a crash does; it is back after some seconds as a new incarnation. */
function crash(engine) {
  if (engine.crashed) return;
  engine.crashed = true;
  crashes.push(performance.now());
  engine.close();
  setTimeout(() => deployment.store.putServer(engine.id, undefined), ENTRY_LAPSES_MS);
  setTimeout(startEngine, BACK_MS);
}

try {
  deployment = await Deployment.create({ configuration: buildConfiguration() });
  for (let index = 0; index < ENGINES; index += 1) await startEngine();
  await deployment.start();
  const [router] = deployment.routers;
  await sleep(3000);
  const startMs = performance.now();
  const answers = [];
  const pending = [];
  let sent = 0;
  let crashing = 0;
  const send = (prefix, isCrashing) => {
    const client = new Client(router.host, router.front);
    const headers = { Model: 'm', 'Token-Count': '1000,70', 'Prompt-Prefix': prefix };
    const request = { path: `/plan/${sent}`, body: `survey ${sent}`, headers, deadlineMs: 14_000 };
    pending.push(
      client.request(request).then((answer) => {
        client.close();
        answers.push({ ...answer, isCrashing });
      }),
    );
  };
  while (performance.now() - startMs < LENGTH_MS) {
    await sleep(Math.max(0, startMs + (sent * 1000) / PER_SECOND - performance.now()));
    sent += 1;
    send(`aa:200,c${sent % 9}:300,b${sent}:500`, false);
    if (TROUBLE && performance.now() - startMs >= crashing * CRASHING_EACH_MS) {
      crashing += 1;
      send(`aa:200,dead:300,d${crashing}:500`, true);
    }
  }
  await Promise.all(pending);
  // BUDGET: requests with the part that reach servers later than stableWindowMs after the fifth crash.
  const arrivals = engines.flatMap(({ arrivals: all }) => all.filter((each) => each.crashing));
  const fifthMs = crashes[4] ?? Infinity;
  const late = arrivals.filter(({ atMs }) => atMs > fifthMs + STABLE_MS);
  const sound = answers.filter(({ isCrashing }) => !isCrashing);
  const lost = sound.filter(({ complete }) => !complete);
  const broken = late.length > 3;
  record.push(
    `sound streams sent ${sound.length}, complete: ${sound.length - lost.length}, broken off by the crash of their server: ${lost.length}`,
    `streams with the part sent ${crashing}, reached servers: ${arrivals.length}`,
    `crashes: ${crashes.length}, at ${crashes.map((atMs) => ((atMs - startMs) / 1000).toFixed(1)).join(' ')} s`,
    `reached servers later than ${STABLE_MS} ms after the fifth crash: ${late.length}`,
    `rule ${broken ? 'BROKEN' : 'held'}`,
    ...listTraffic(answers, engines, startMs),
  );
  process.exitCode = broken ? 1 : 0;
} catch (error) {
  record.push(`could not run: ${error.stack}`);
  process.exitCode = 2;
} finally {
  engines.forEach((server) => server.close());
  await deployment?.stop();
}
writeFileSync(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
  `${record.join('\n')}\n`,
);
console.log(record.slice(0, 5).join('\n'));
process.exit();
