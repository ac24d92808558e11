import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { createEngineServer } from '../../harness/model-fixtures.js';
import type { BackendServer, PlainServer } from '../../src/domain/backend-server.js';
import { createState } from '../support/fake-services.js';
import {
  createAssignment,
  createLoad,
  createRequest,
  createRouting,
  type RoutingState,
  scenario,
  settle,
  getState,
} from '../support/routing-fixtures.js';

const NONE: ReadonlySet<string> = new Set();
const PROMPT = 'word '.repeat(200);

function createPlain(name: string): PlainServer {
  const address = { host: '127.0.0.1', port: 1 };
  return { kind: 'service', name, address, availabilityZone: 'a', draining: false, pool: 'yard' };
}

/** Repeats a choice 200 times and returns the distinct names, sorted. */
function collectNames(choose: () => string | undefined): string {
  const names = Array.from({ length: 200 }, choose);
  return [...new Set(names)].sort().join(' ');
}

Given('routing over the engines {string}', async (names: string) => {
  scenario.routing = await createRouting(names.split(' ').map((name) => createEngineServer(name)));
});

Given('routing over the plain servers {string}', async (names: string) => {
  scenario.routing = await createRouting(names.split(' ').map(createPlain));
});

After(async () => {
  await scenario.routing?.routing.stop();
});

async function configure(state: RoutingState, servers: readonly BackendServer[]): Promise<void> {
  Object.assign(state.fakes, { state: createState(servers, 2) });
  state.fakes.changes.push(state.fakes.state);
  await settle();
}

When('routing learns that {string} is draining by configuration', async (name: string) => {
  const state = getState();
  const servers = [...state.fakes.state.servers.values()];
  const drain = (server: BackendServer) => ({ ...server, draining: server.name === name });
  await configure(state, servers.map(drain));
});

When('routing learns that {string} is draining by load report', (name: string) => {
  getState().routing.observeLoad(name, createLoad({ draining: true }));
});

When('routing learns that {string} is draining by vm list', async (name: string) => {
  getState().fakes.listings.push({ vms: [], servers: [{ name, state: 'leaving' }] });
  await settle();
});

When('routing learns that plain {string} is draining', (name: string) => {
  getState().routing.observeDraining(name);
});

When('routing learns that the entry of {string} changed', async (name: string) => {
  const state = getState();
  const servers = [...state.fakes.state.servers.values()];
  const copy = (server: BackendServer) => (server.name === name ? { ...server } : server);
  await configure(state, servers.map(copy));
});

When('routing learns that {string} failed', (name: string) => {
  getState().routing.observeFailure(name, false);
});

When('routing assigns a suspect to {string}', (server: string) => {
  getState().routing.assign(createAssignment({ server, suspect: true }));
});

When('routing prefills a long prompt on one engine', () => {
  const state = getState();
  state.first = state.routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name ?? '';
});

When(
  'routing observes that this engine has {int} more queued tokens',
  (queuedPrefillTokens: number) => {
    const { routing, first } = getState();
    routing.observeLoad(first ?? '', createLoad({ queuedPrefillTokens }));
  },
);

Then('routing decodes and prefills only on {string}', (names: string) => {
  const { routing } = getState();
  const request = createRequest();
  assert.equal(
    collectNames(() => routing.chooseDecode(request, 1, NONE, false)?.name),
    names,
  );
  assert.equal(
    collectNames(() => routing.choosePrefill(request, NONE, false)?.name),
    names,
  );
});

Then('routing sends plain requests only to {string}', (names: string) => {
  const { routing } = getState();
  assert.equal(
    collectNames(() => routing.chooseService('yard', NONE)?.name),
    names,
  );
});

Then('routing finds no server for another suspect but one for others', () => {
  const { routing } = getState();
  assert.equal(routing.chooseDecode(createRequest(), 1, NONE, true), undefined);
  assert.equal(routing.choosePrefill(createRequest(), NONE, true), undefined);
  assert.equal(routing.chooseDecode(createRequest(), 1, NONE, false)?.name, 'e1');
});

Then('routing prefills the same prompt there again', () => {
  const { routing, first } = getState();
  const choose = () => routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name;
  assert.equal(collectNames(choose), first);
});

Then('routing prefills the same prompt elsewhere', () => {
  const { routing, first } = getState();
  assert.notEqual(routing.choosePrefill(createRequest(PROMPT), NONE, false)?.name, first);
});
