import assert from 'node:assert/strict';

import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { CallerSink } from '../../platform/caller-sink.js';
import { decodeConfiguration } from '../../platform/decode-configuration.js';
import { decodeServer } from '../../platform/decode-server.js';
import { decodePage, encodeKeyedRecord } from '../../platform/log-records.js';
import { ServerClient } from '../../platform/server-client.js';
import { decodeSettings } from '../../platform/settings.js';
import { selectRequestHeaders } from '../../platform/wire-headers.js';
import type { Address } from '../../src/domain/vm.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { createCatalogServer, createRelayRequest } from '../support/relay-fixtures.js';
import {
  FRAMED_ANSWERS,
  ScriptedServer,
  UNFRAMED_HEADS,
  type AnswerBytes,
} from '../support/scripted-server.js';
import { launchProcess, type LaunchedProcess } from '../../harness/process-launcher.js';
import {
  createPlatformConfiguration,
  createPlatformSettings,
} from '../../harness/platform-fixtures.js';

interface ContractWorld {
  scriptedServer: ScriptedServer | undefined;
  platformClient: ServerClient | undefined;
  resettingServer: LaunchedProcess | undefined;
  noListener: boolean;
  outcomes: string[];
  /** Ids of the servers that said they are leaving, one for each answer. */
  leavers: string[];
  /** Limits that servers named, one for each answer; undefined for none. */
  limits: (number | undefined)[];
  quietMs: number;
  selected: string[];
  decoded: ReturnType<typeof decodeConfiguration>;
  settings: ReturnType<typeof decodeSettings>;
  callerBytes: string;
  callerReset: boolean;
}

const scenario = world as unknown as ContractWorld;

const STEP = { timeout: 30_000 } as const;

const clock = SystemClock.create();

After(async () => {
  scenario.scriptedServer?.close();
  await scenario.platformClient?.stop();
  await scenario.resettingServer?.kill();
});

Given('a platform server that answers with {string}', async (script: string) => {
  scenario.scriptedServer = await ScriptedServer.create(script);
  scenario.noListener = script === 'no listener';
  if (scenario.noListener) scenario.scriptedServer.close();
  const logs = JsonLogs.create('error', 'test');
  scenario.leavers = [];
  scenario.limits = [];
  scenario.platformClient = ServerClient.create('test', clock, logs, ({ id }, notice) => {
    if (notice.leaving) scenario.leavers.push(id);
    scenario.limits.push(notice.requestsPerSecond);
    scenario.quietMs = notice.quietMs ?? 0;
  });
  scenario.outcomes = [];
});

Given(
  'a platform server in a process of its own that resets answers without a length',
  async () => {
    scenario.resettingServer = await launchProcess('stand-ins/resetting-server');
    const logs = JsonLogs.create('error', 'test');
    scenario.platformClient = ServerClient.create('test', SystemClock.create(), logs, () => {});
    scenario.outcomes = [];
  },
);

/** Requests to the resetting server that are in progress at the same time. */
const RESET_REQUESTS_AT_ONCE = 20;

When(
  '{int} requests are sent to the resetting platform server, with resets after 0 to 6 ms',
  STEP,
  async (count: number) => {
    const port = Number(scenario.resettingServer!.ready.port);
    for (let sent = 0; sent < count; sent += RESET_REQUESTS_AT_ONCE) {
      const ids = Array.from({ length: RESET_REQUESTS_AT_ONCE }, (_, index) => `r${sent + index}`);
      const address = { host: '127.0.0.1', port };
      const outcomes = ids.map((id) => sendRequest(id, -Infinity, address));
      scenario.outcomes.push(...(await Promise.all(outcomes)));
    }
  },
);

Then('no platform call ends as {string}', (outcome: string) => {
  assert.ok(scenario.outcomes.length > 0);
  const count = scenario.outcomes.filter((each) => each === outcome).length;
  assert.equal(count, 0, `${count} of ${scenario.outcomes.length} calls`);
});

/** Sends one request for each length of the truncated answer, each to a server of its own. */
async function sendTruncated(answer: AnswerBytes): Promise<void> {
  const logs = JsonLogs.create('error', 'test');
  scenario.platformClient = ServerClient.create('test', SystemClock.create(), logs, () => {});
  scenario.outcomes = [];
  const { length } = answer('r0');
  for (let size = 0; size < length; size += 1) {
    const server = await ScriptedServer.create((socket, id) =>
      socket.end(answer(id).slice(0, size)),
    );
    const address = { host: '127.0.0.1', port: server.port };
    scenario.outcomes.push(`${await sendRequest('r0', -Infinity, address)} ${size}`);
    server.close();
  }
}

When(/^platform answers (.*) end at each of their bytes$/, STEP, async (framing: string) => {
  await sendTruncated(FRAMED_ANSWERS[framing]!);
});

When(/^platform answers (.*) end at each byte of their heads$/, STEP, async (framing: string) => {
  await sendTruncated(UNFRAMED_HEADS[framing]!);
});

Then('no platform call ends as whole', () => {
  assert.ok(scenario.outcomes.length > 0);
  assert.deepEqual(
    scenario.outcomes.filter((outcome) => !/^(broken|cut) /.test(outcome)),
    [],
  );
});

/** Sizes of the bodies that are read slowly, in bytes: from less to more than the buffers of a connection. */
const SLOW_SIZES = Array.from({ length: 25 }, (_, index) => (index + 1) * 16_000);

/** Time between two chunks that a slow reader takes, in milliseconds. */
const SLOW_READ_INTERVAL_MS = 30;

/** Time from an answer to the reset of its connection, in milliseconds: the reader has begun to read. */
const LATE_RESET_MS = 15;

When(
  /^answers without a length of 16 to 400 kB that (end|are reset) are read slowly from the platform server$/,
  STEP,
  async (end: string) => {
    const logs = JsonLogs.create('error', 'test');
    scenario.platformClient = ServerClient.create('test', SystemClock.create(), logs, () => {});
    scenario.outcomes = [];
    for (const size of SLOW_SIZES) {
      const body = 'x'.repeat(size);
      const server = await ScriptedServer.create((socket, id) => {
        socket.write(`${UNFRAMED_HEADS['without a length']!(id)}${body}`);
        if (end === 'end') socket.end();
        else setTimeout(() => socket.resetAndDestroy().destroy(), LATE_RESET_MS);
      });
      const address = { host: '127.0.0.1', port: server.port };
      const slowly = { body, intervalMs: SLOW_READ_INTERVAL_MS };
      scenario.outcomes.push(await sendRequest('r0', -Infinity, address, slowly));
      server.close();
    }
  },
);

/** Sizes of bodies that are wholly in the buffers of a loopback connection before its reset, in bytes. */
const BUFFERED_SIZES = Array.from({ length: 25 }, (_, index) => (index + 1) * 8000);

/** Time from the last byte of an answer to the reset of its connection, in milliseconds. */
const RESET_BEHIND_ANSWER_MS = 30;

When(
  'whole answers with a length of 8 to 200 kB are read slowly from the platform server, which resets them afterwards',
  STEP,
  async () => {
    const logs = JsonLogs.create('error', 'test');
    scenario.platformClient = ServerClient.create('test', clock, logs, () => {});
    const calls = BUFFERED_SIZES.map(async (size) => {
      const body = 'x'.repeat(size);
      const server = await ScriptedServer.create((socket, id) => {
        const head = UNFRAMED_HEADS['without a length']!(id).trimEnd();
        socket.write(`${head}\r\nContent-Length: ${size}\r\n\r\n${body}`, () => {
          setTimeout(() => socket.resetAndDestroy(), RESET_BEHIND_ANSWER_MS);
        });
      });
      const address = { host: '127.0.0.1', port: server.port };
      const outcome = await sendRequest('r0', -Infinity, address, {
        body,
        intervalMs: SLOW_READ_INTERVAL_MS,
      });
      server.close();
      return outcome;
    });
    scenario.outcomes = await Promise.all(calls);
  },
);

Then('the platform calls all end as {string}', (outcome: string) => {
  assert.ok(scenario.outcomes.length > 0);
  assert.deepEqual(
    scenario.outcomes.filter((each) => each !== outcome),
    [],
  );
});

When('a request is sent to the platform server', async () => {
  scenario.outcomes.push(await sendRequest(`r${scenario.outcomes.length}`));
  await new Promise((resolve) => {
    setTimeout(resolve, 60);
  });
});

When('{int} requests are sent to the platform server at once', async (count: number) => {
  const ids = Array.from({ length: count }, (_, index) => `r${index}`);
  scenario.outcomes = await Promise.all(ids.map((id) => sendRequest(id)));
});

When(
  'the platform server goes down and {int} requests are sent to it after its failure is known',
  async (count: number) => {
    scenario.scriptedServer!.goDown();
    scenario.outcomes = [];
    const connectedAfterMs = SystemClock.create().monotonicMs();
    for (let index = 0; index < count; index += 1) {
      scenario.outcomes.push(await sendRequest(`s${index}`, connectedAfterMs));
    }
  },
);

Then('the platform calls end as {string}', (outcomes: string) => {
  assert.equal(scenario.outcomes.join(', '), outcomes);
});

/** Port without a listener. */
const UNUSED_PORT = 1;

function scriptedAddress(): Address {
  const { scriptedServer: server, noListener: closed } = scenario;
  return { host: '127.0.0.1', port: closed ? UNUSED_PORT : server!.port };
}

async function sendRequest(
  requestId: string,
  connectedAfterMs = -Infinity,
  address = scriptedAddress(),
  expected = { body: 'ok', intervalMs: 0 },
): Promise<string> {
  const { platformClient: calls } = scenario;
  const target = createCatalogServer({ address });
  const headers = ['Attempt-Id', requestId, 'Host', 'plans.example'];
  const request = createRelayRequest({ requestId, headers });
  const outcome = await calls!.send(target, request, {
    deadlineMs: 1000,
    team: undefined,
    signal: AbortSignal.timeout(3000),
    connectedAfterMs,
  });
  if (outcome.kind === 'failed') return outcome.failure;
  const { head, body } = outcome.value;
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      if (expected.intervalMs > 0) await clock.sleep(expected.intervalMs);
    }
  } catch {
    return 'cut';
  }
  assert.equal(Buffer.concat(chunks).toString(), expected.body);
  return head.status === 200 ? 'whole' : `whole ${head.status}`;
}

Then('the platform call ends as {string}', (outcome: string) => {
  assert.deepEqual(scenario.outcomes, [outcome]);
});

Then(/^the platform server (is|is not) known to leave$/, (known: string) => {
  assert.equal(scenario.leavers.length, known === 'is' ? 1 : 0);
});

Then(/^the platform server's limit is (.*)$/, (known: string) => {
  const named = known === 'none' ? [undefined] : [Number(known)];
  assert.deepEqual(scenario.limits, known === 'not said' ? [] : named);
});

Then('the platform server wants nothing for {int} ms', (ms: number) => {
  assert.equal(scenario.quietMs, ms);
});

Then(
  /^the platform entry (.+) yields a server that is cold for (.*) ms$/,
  (entry: string, ms: string) => {
    const server = decodeServer('i-1', Buffer.from(entry));
    assert.equal(String(server?.coldForMs), ms);
  },
);

Then(
  /^the platform service (.+) takes (.+) requests a second for (.+) ms after a start$/,
  (service: string, perSecond: string, ms: string) => {
    const services = [JSON.parse(service) as unknown];
    const configuration = { ...createPlatformConfiguration(), services };
    const decoded = decodeConfiguration(Buffer.from(JSON.stringify(configuration)));
    assert.ok(decoded.kind === 'ok');
    const { cold } = decoded.value.configuration.pools[0]!;
    assert.deepEqual([String(cold?.perSecond), String(cold?.coldMs)], [perSecond, ms]);
  },
);

Then('no platform call ends with an answer of another request', () => {
  assert.equal(scenario.outcomes[0], 'whole');
  assert.ok(['whole', 'broken'].includes(scenario.outcomes[1]!), scenario.outcomes[1]);
});

When("a caller's headers {string} are forwarded to a platform server", (text: string) => {
  const raw = text.split(', ').flatMap((line) => line.split(': '));
  scenario.selected = selectRequestHeaders(raw);
});

Then('the platform server receives the headers {string}', (names: string) => {
  const seen = scenario.selected.filter((_, index) => index % 2 === 0);
  assert.equal(seen.join(', '), names);
});

Then(/^the platform entry (.+) yields no server$/, (entry: string) => {
  assert.equal(decodeServer('i-1', Buffer.from(entry)), undefined);
});

Then('a platform entry that is nested {int} levels deep yields no server', (levels: number) => {
  const entry = `{"service":${'['.repeat(levels)}${']'.repeat(levels)}}`;
  assert.equal(decodeServer('i-1', Buffer.from(entry)), undefined);
});

When(
  'a request is sent to the platform server with the address {string}',
  async (address: string) => {
    const [host = '', port] = address.split(':');
    scenario.outcomes.push(await sendRequest('r0', -Infinity, { host, port: Number(port) }));
  },
);

When(
  'the platform configuration has a route without a host, a route of an unknown kind and a team without a name',
  () => {
    const configuration = createPlatformConfiguration();
    const routes = [
      ...configuration.routes.slice(0, 1),
      { pathPrefix: '/x/', kind: 'safe' },
      { host: 'h', pathPrefix: '/y/', kind: 'odd' },
    ];
    const tenants = [...configuration.tenants, { apiKeys: ['k'] }];
    const bytes = Buffer.from(JSON.stringify({ ...configuration, routes, tenants }));
    scenario.decoded = decodeConfiguration(bytes);
  },
);

Then(
  'the platform configuration keeps {int} route and {int} team, and reports {int} skipped parts',
  (routes: number, teams: number, skippedCount: number) => {
    assert.ok(scenario.decoded.kind === 'ok');
    const { configuration, skipped } = scenario.decoded.value;
    assert.equal(configuration.routes.length, routes);
    assert.equal(configuration.teams?.length, teams);
    assert.equal(skipped.length, skippedCount);
  },
);

Then('the platform configuration {string} is rejected', (text: string) => {
  assert.equal(decodeConfiguration(Buffer.from(text)).kind, 'failed');
});

When('the platform settings lack the zone and have a port as text', () => {
  const settings = { ...createPlatformSettings(), zone: undefined, portRange: ['7500', 7515] };
  scenario.settings = decodeSettings(settings);
});

Then(
  'the platform settings are rejected because of {string} and {string}',
  (first: string, second: string) => {
    assert.ok(scenario.settings.kind === 'failed');
    const fields = scenario.settings.failure.faults.map(({ field }) => field);
    assert.deepEqual(fields.sort(), [first, second].sort());
  },
);

Then(
  'a platform page of {int} records is decoded, and none that is truncated within a record is',
  (count: number) => {
    const records = Array.from({ length: count }, (_, index) =>
      encodeKeyedRecord({ key: `k${index}`, value: Buffer.from('value') }),
    );
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(count));
    const page = Buffer.concat([head, ...records]);
    assert.equal(decodePage(page)?.records.length, count);
    const ends = new Set([16]);
    records.reduce((at, record) => {
      ends.add(at + record.length);
      return at + record.length;
    }, 16);
    for (let length = 0; length < page.length; length += 1) {
      if (!ends.has(length)) assert.equal(decodePage(page.subarray(0, length)), undefined);
    }
  },
);

When(
  /^a caller of HTTP\/(1\.\d) gets an answer (with|without) a length that (is whole|arrives in parts|is cut)$/,
  async (version: string, length: string, arrives: string) => {
    const headers = length === 'with' ? ['Content-Length', '2'] : [];
    const head = { status: 200, headers, framed: length === 'with' };
    const server = createServer((_, response) => {
      const sink = CallerSink.create(response, 'r', () => false);
      if (arrives === 'is whole') {
        sink.send(head, [Buffer.from('ok')]);
        return;
      }
      sink.writeHead(head);
      void sink.write(Buffer.from('ok'));
      if (arrives === 'is cut') setTimeout(() => sink.abort(), 50);
      else sink.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    scenario.callerBytes = '';
    scenario.callerReset = false;
    await new Promise<void>((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      socket.on('data', (bytes) => {
        scenario.callerBytes += bytes.toString();
        if (/(\r\n\r\nok|\r\n0\r\n\r\n)$/.test(scenario.callerBytes) && arrives !== 'is cut')
          socket.end();
      });
      socket.on('error', () => {
        scenario.callerReset = true;
      });
      socket.on('close', () => resolve());
      socket.write(`GET / HTTP/${version}\r\nHost: x\r\n\r\n`);
    });
    server.close();
  },
);

const SEEN: Readonly<Record<string, RegExp>> = {
  'with its length': /\r\ncontent-length: 2\r\n(?!.*transfer-encoding)(.*\r\n)?\r\nok$/is,
  'in chunks, with the last one':
    /\r\ntransfer-encoding: chunked\r\n(?!.*content-length)(.*\r\n)?\r\n2\r\nok\r\n0\r\n\r\n$/is,
  'in chunks, without the last one':
    /\r\ntransfer-encoding: chunked\r\n(?!.*content-length)(.*\r\n)?\r\n2\r\nok\r\n$/is,
  'without framing': /^(?!.*(content-length|transfer-encoding)).*\r\n\r\nok$/is,
};

Then(
  /^the caller sees it (with its length|in chunks, with.* last one|without framing)(, and a reset)?$/,
  (seen: string, reset: string | null) => {
    assert.match(scenario.callerBytes, SEEN[seen] ?? assert.fail(seen));
    assert.equal(scenario.callerReset, reset !== null);
  },
);
