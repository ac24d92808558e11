import assert from 'node:assert/strict';

import { HttpConnections } from '../../src/backends/http-connections.js';
import { HttpPlainService } from '../../src/backends/http-plain-service.js';
import { HttpPeerState } from '../../platform/http-peer-state.js';
import { LogStore } from '../../platform/log-store.js';
import { ServerClient } from '../../platform/server-client.js';
import { HttpLogService } from '../../src/infrastructure/http-log-service.js';
import { HttpVmList } from '../../src/infrastructure/http-vm-list.js';
import { HttpWeightStore } from '../../src/infrastructure/http-weight-store.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { createCatalogServer, createRelayRequest } from './relay-fixtures.js';

/** Id of the requests that readers send to servers. */
export const READER_REQUEST_ID = 'r1';

const HOST = '127.0.0.1';

const clock = SystemClock.create();

const logs = JsonLogs.create('error', 'test');

/** A reader of answers: how it is stopped, and a call that returns whether it got an answer. */
export interface AnswerReader {
  readonly stop: () => Promise<void>;
  readonly call: () => Promise<boolean>;
}

function createClientReader(
  call: (client: ServerClient, signal: AbortSignal) => Promise<boolean>,
): AnswerReader {
  const client = ServerClient.create('test', clock, logs, () => {});
  return { stop: () => client.stop(), call: () => call(client, AbortSignal.timeout(2000)) };
}

function createStoreReader(
  port: number,
  call: (store: LogStore) => Promise<Outcome<unknown, Error>>,
): AnswerReader {
  const store = LogStore.create({ host: HOST, port }, { name: 'vm', host: HOST }, logs);
  return { stop: () => store.stop(), call: async () => (await call(store)).kind === 'ok' };
}

const NO_BODY = Buffer.alloc(0);

const READERS: Readonly<Record<string, (port: number, body: Buffer) => AnswerReader>> = {
  'log service': (port) => {
    const service = HttpLogService.create({ urls: [`http://${HOST}:${port}`], timeoutMs: 1000 });
    const query = { stream: 's', from: 1, limit: 1000, waitMs: 0 };
    return {
      stop: () => service.stop(),
      call: async () => (await service.read(query)).kind === 'ok',
    };
  },
  'log service that gets records': (port) => {
    const service = HttpLogService.create({ urls: [`http://${HOST}:${port}`], timeoutMs: 1000 });
    return {
      stop: () => service.stop(),
      call: async () => (await service.append('s', ['record'])).kind === 'ok',
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
  'platform store': (port) => createStoreReader(port, (store) => store.newestConfiguration()),
  'platform store that waits for records': (port) =>
    createStoreReader(port, (store) => store.nextConfiguration({ era: 0, offset: 0 }, 1000)),
  'platform store that sends records': (port) =>
    createStoreReader(port, (store) => store.serverChanges({ era: 0, offset: 0 })),
  'platform store that gets records': (port) =>
    createStoreReader(port, (store) => store.register()),
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
  'server that gets an order': (port) =>
    createClientReader(async (client) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      return (await client.orderStage(server, 'decode', 1)).kind === 'ok';
    }),
  'server that gets a request': (port, body) =>
    createClientReader(async (client, signal) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      const request = createRelayRequest({ requestId: READER_REQUEST_ID, body });
      const options = { deadlineMs: 1000, team: undefined, signal };
      const outcome = await client.send(server, request, options);
      return outcome.kind === 'ok' && isReadToTheEnd(outcome.value.body);
    }),
  'plain server of the own interface': (port, body) => {
    const limits = { connectMs: 500, idleMs: 1000 };
    const connections = HttpConnections.create({ host: HOST, port }, limits);
    const observer = { onDraining: () => {}, onFailure: () => {} };
    const service = HttpPlainService.create(connections, observer);
    const { signal } = new AbortController();
    const call = { method: 'POST', target: '/', headers: {}, body, timeoutMs: 2000, signal };
    return {
      stop: () => connections.destroy(),
      call: async () => (await service.send(call)).kind === 'ok',
    };
  },
  'server asked to prefill': (port, body) =>
    createClientReader(async (client, signal) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      const request = createRelayRequest({ requestId: READER_REQUEST_ID, body });
      const options = { deadlineMs: 1000, team: undefined, signal };
      return (await client.prefill(server, request, options)).kind === 'ok';
    }),
  'server that refuses a request': (port) =>
    createClientReader(async (client, signal) => {
      const server = createCatalogServer({ address: { host: HOST, port } });
      const request = createRelayRequest({ requestId: READER_REQUEST_ID });
      const options = { deadlineMs: 1000, team: undefined, signal };
      const outcome = await client.send(server, request, options);
      // The body is read after the result, to keep the connection.
      await clock.sleep(1000);
      return outcome.kind === 'ok';
    }),
};

/**
 * Creates a reader of answers.
 *
 * @param name - name of the reader
 * @param port - port of the server on the loopback interface
 * @param body - body of the request, for readers that pass on a caller's request
 * @returns the reader
 */
export function createAnswerReader(name: string, port: number, body = NO_BODY): AnswerReader {
  return READERS[name]?.(port, body) ?? assert.fail(name);
}

async function isReadToTheEnd(body: AsyncIterable<Buffer>): Promise<boolean> {
  try {
    for await (const chunk of body) assert.ok(chunk);
    return true;
  } catch {
    return false;
  }
}
