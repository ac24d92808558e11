import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { HttpPeerState } from '../../platform/http-peer-state.js';
import { LogStore } from '../../platform/log-store.js';
import { ServerClient } from '../../platform/server-client.js';
import { HttpLogService } from '../../src/infrastructure/http-log-service.js';
import { HttpVmList } from '../../src/infrastructure/http-vm-list.js';
import { HttpWeightStore } from '../../src/infrastructure/http-weight-store.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { EndlessServer } from '../support/endless-server.js';
import { createCatalogServer, createRelayRequest } from '../support/relay-fixtures.js';

interface EndlessWorld {
  endless: EndlessServer | undefined;
  stop: (() => Promise<void>) | undefined;
  failed: boolean;
  tookMs: number;
}

const scenario = world as unknown as EndlessWorld;

const HOST = '127.0.0.1';
const REQUEST_ID = 'r1';

/** Bytes that wait in the buffers of a loopback connection, at most. */
const BUFFERED_BYTES = 12_582_912;

const clock = SystemClock.create();

const logs = JsonLogs.create('error', 'test');

/** A reader of answers: how it is stopped, and a call that returns whether it got an answer. */
interface Reader {
  readonly stop: () => Promise<void>;
  readonly call: () => Promise<boolean>;
}

function createClientReader(
  call: (client: ServerClient, signal: AbortSignal) => Promise<boolean>,
): Reader {
  const client = ServerClient.create('test', clock, logs, () => {});
  return { stop: () => client.stop(), call: () => call(client, AbortSignal.timeout(2000)) };
}

const READERS: Readonly<Record<string, (port: number) => Reader>> = {
  'log service': (port) => {
    const service = HttpLogService.create({ urls: [`http://${HOST}:${port}`], timeoutMs: 1000 });
    const query = { stream: 's', from: 1, limit: 1000, waitMs: 0 };
    return {
      stop: () => service.stop(),
      call: async () => (await service.read(query)).kind === 'ok',
    };
  },
  'VM list': (port) => {
    const url = `http://${HOST}:${port}`;
    const list = HttpVmList.create({ url, pollMs: 60_000, timeoutMs: 1000 }, clock);
    return {
      stop: () => list.stop(),
      call: async () => {
        await list.start();
        await clock.sleep(2500);
        return list.current() !== undefined;
      },
    };
  },
  'weight store': (port) => {
    const store = HttpWeightStore.create({ url: `http://${HOST}:${port}`, timeoutMs: 1000 });
    return {
      stop: () => store.stop(),
      call: async () => (await store.find('m', '1')).kind === 'ok',
    };
  },
  'platform store': (port) => {
    const store = LogStore.create({ host: HOST, port }, { name: 'vm', host: HOST }, logs);
    return {
      stop: () => store.stop(),
      call: async () => (await store.newestConfiguration()).kind === 'ok',
    };
  },
  'peer state': (port) => {
    const peers = HttpPeerState.create(port);
    const known = { configuration: 0, catalogHash: 0 };
    return {
      stop: () => peers.stop(),
      call: async () => (await peers.fetch(HOST, known)).kind === 'ok',
    };
  },
  'server asked for a reservation': (port) =>
    createClientReader(async (client) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      return (await client.reserve(server, 100, 1000)).kind === 'ok';
    }),
  'server asked to prefill': (port) =>
    createClientReader(async (client, signal) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      const request = createRelayRequest({ requestId: REQUEST_ID });
      const options = { deadlineMs: 1000, team: undefined, signal };
      return (await client.prefill(server, request, options)).kind === 'ok';
    }),
  'server that refuses a request': (port) =>
    createClientReader(async (client, signal) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      const request = createRelayRequest({ requestId: REQUEST_ID });
      const options = { deadlineMs: 1000, team: undefined, signal };
      const outcome = await client.send(server, request, options);
      // The body is read after the result, to keep the connection.
      await clock.sleep(1000);
      return outcome.kind === 'ok';
    }),
};

After(async () => {
  scenario.endless?.close();
  await scenario.stop?.();
  Object.assign(scenario, { endless: undefined, stop: undefined });
});

Given(
  /^an endless server that sends (.*) without end, (fast|slow)$/,
  async (kind: string, pace: 'fast' | 'slow') => {
    scenario.endless = await EndlessServer.create(kind, pace);
  },
);

Given(
  /^an endless server that refuses requests and sends (.*) without end, (fast|slow)$/,
  async (kind: string, pace: 'fast' | 'slow') => {
    const headers = () => `Attempt-Id: ${REQUEST_ID}\r\nNot-Run: 1\r\n`;
    scenario.endless = await EndlessServer.create(kind, pace, headers);
  },
);

When('the endless {string} is read', { timeout: 15_000 }, async (name: string) => {
  const reader = READERS[name]?.(scenario.endless!.port) ?? assert.fail(name);
  scenario.stop = reader.stop;
  const startedMs = performance.now();
  scenario.failed = !(await reader.call());
  scenario.tookMs = performance.now() - startedMs;
});

Then('reading from the endless server has failed within {int} ms', (mostMs: number) => {
  assert.ok(scenario.failed, 'an answer without end was accepted');
  assert.ok(scenario.tookMs <= mostMs, `${scenario.tookMs} ms`);
});

Then('the endless server could send at most {int} MB', (megabytes: number) => {
  const { sentBytes } = scenario.endless!;
  assert.ok(sentBytes <= megabytes * 1_048_576 + BUFFERED_BYTES, `${sentBytes} bytes`);
});

Then('the endless server has no open connection', async () => {
  for (let waits = 0; waits < 20 && scenario.endless!.openConnections > 0; waits += 1)
    await clock.sleep(50);
  assert.equal(scenario.endless!.openConnections, 0);
});
