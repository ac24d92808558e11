import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { HttpListener, replyJson } from '../../platform/http-listener.js';
import { HttpPeerState, STATE_PATH } from '../../platform/http-peer-state.js';
import { findFreePorts } from '../../harness/free-ports.js';
import { createTcpRelay, type TcpRelay } from '../../harness/tcp-relay.js';
import { JsonLogs } from '../../src/observability/json-logs.js';
import { createConnectionGuard } from '../support/connection-guards.js';
import type { SharedState } from '../../src/state/peer-state.js';
import { createRelayConfiguration, createRelayRoute } from '../support/relay-fixtures.js';

interface StateWorld {
  sharedState: SharedState;
  stateListener: HttpListener | undefined;
  stateClients: HttpPeerState[];
  stateRelay: TcpRelay;
  fetchedStates: unknown[];
}

const scenario = world as unknown as StateWorld;

const HOST = '127.0.0.1';

/** Bytes that a link of 1 Mbit/s carries in a millisecond. */
const BYTES_PER_MBIT_MS = 125;

After(async () => {
  await scenario.stateListener?.stop();
  await Promise.all((scenario.stateClients ?? []).map((client) => client.stop()));
  Object.assign(scenario, { stateListener: undefined, stateClients: [] });
});

Given('a platform VM that knows a configuration of {int} routes', async (count: number) => {
  const routes = Array.from({ length: count }, (_, index) => {
    const name = `route-${index}-${(index * 7919).toString(36)}`;
    return createRelayRoute({ name, host: `${name}.example`, pathPrefix: `/${name}/` });
  });
  const configuration = createRelayConfiguration({ version: 25, routes });
  scenario.sharedState = { configuration, catalog: undefined, settlingMs: 0 };
  const [port] = await findFreePorts(1);
  scenario.stateListener = HttpListener.create(
    { host: HOST, port: port! },
    { [STATE_PATH]: () => replyJson(scenario.sharedState) },
    JsonLogs.create('error', 'test'),
    createConnectionGuard(),
  );
  await scenario.stateListener.start();
  scenario.stateRelay = await createTcpRelay({ host: HOST, port: port! });
});

When('{int} other platform VMs fetch its state at once', async (count: number) => {
  const { port } = scenario.stateRelay;
  scenario.stateClients = Array.from({ length: count }, () => HttpPeerState.create(port));
  const known = { configuration: 24, catalogHash: 0 };
  scenario.fetchedStates = await Promise.all(
    scenario.stateClients.map((client) => client.fetch(HOST, known)),
  );
});

Then('every platform VM has got this configuration', () => {
  const { configuration } = JSON.parse(JSON.stringify(scenario.sharedState)) as SharedState;
  scenario.fetchedStates.forEach((outcome) => {
    const { kind, value } = outcome as { kind: string; value?: SharedState };
    assert.equal(kind, 'ok');
    assert.deepEqual(value?.configuration, configuration);
  });
});

Then(
  'a link of {int} Mbit\\/s carries the platform state in {int} ms',
  (megabits: number, ms: number) => {
    const bytes = scenario.stateRelay.countBytes();
    assert.ok(bytes <= megabits * BYTES_PER_MBIT_MS * ms, `${bytes} bytes`);
  },
);
