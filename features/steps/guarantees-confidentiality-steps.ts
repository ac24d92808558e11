import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { callCompletion, callService } from '../../harness/caller-client.js';
import { startFleet, type Fleet, type FleetDaemon } from '../../harness/fleet.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { MODEL, planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { receiveDatagrams, type DatagramReceiver } from '../support/guarantees-datagrams.js';
import { fetchEntryAddresses } from '../../harness/entry-addresses.js';
import {
  KEYED_ROUTES,
  OPEN_ROUTE,
  sendOnKeyedRoutes,
  sendWithHeader,
} from '../support/guarantees-key-requests.js';
import { openStream } from '../support/guarantees-key-streams.js';
import {
  collectOutputs,
  listKeyForms,
  type CollectedOutput,
} from '../support/guarantees-key-leaks.js';
import { reportFigure, type Reporter } from '../support/guarantees-report.js';

interface ConfidentialWorld extends Reporter {
  confidential?: {
    readonly fleet: Fleet;
    readonly datagrams: DatagramReceiver;
    readonly keys: string[];
  };
}

const scenario = world as unknown as ConfidentialWorld;

function getConfidentialState() {
  assert.ok(scenario.confidential);
  return scenario.confidential;
}

/** Sends requests of all kinds, some of them invalid, with a valid key. */
async function sendMixedRequests(daemon: FleetDaemon, text: string): Promise<void> {
  const bearer = `Bearer ${text}`;
  const call = { model: MODEL, prompt: 'roll the square', maxTokens: 10, key: text };
  const extraHeaders = { 'proxy-authorization': bearer, cookie: `key=${text}` };
  const cancelled = await openStream(daemon, text, 100);
  cancelled.abort();
  await Promise.all([
    callCompletion(daemon.callers, { ...call, stream: true }),
    callCompletion(daemon.callers, { ...call, model: 'no-such-model' }),
    callCompletion(daemon.callers, { ...call, maxTokens: 1_000_000 }),
    sendOnKeyedRoutes(daemon, bearer),
    sendOnKeyedRoutes(daemon, `Basic ${btoa(`${text}:`)}`),
    ...[OPEN_ROUTE, ...KEYED_ROUTES].map((route) =>
      sendWithHeader(daemon, route, bearer, extraHeaders),
    ),
    sendWithHeader(daemon, '/no-such-route', bearer),
    sendWithHeader(daemon, '/services/yard/jobs/%2e%2e/1', bearer),
    fetchEntryAddresses(daemon, text),
    callService(daemon.callers, {
      ...{ method: 'POST', path: '/services/yard/orders', body: '{"drums":3}', key: text },
      idempotencyKey: createIdempotencyKey(),
    }),
  ]);
}

After(async () => {
  scenario.confidential?.datagrams.close();
  await scenario.confidential?.fleet.stop();
});

Given(
  'a confidential fleet of {int} daemons that log everything and send metrics',
  async (daemons: number) => {
    const datagrams = await receiveDatagrams();
    const settings = {
      logs: { level: 'debug' },
      statsd: { host: '127.0.0.1', port: datagrams.port },
    };
    const plan = planSmallFleet({ daemons, relayed: true, recorded: true, settings });
    scenario.confidential = { fleet: await startFleet(plan), datagrams, keys: [] };
  },
);

When('confidential keys are used in a mixture of requests at every daemon', async () => {
  const { fleet, keys } = getConfidentialState();
  for (const team of ['oval-crew', 'school-grounds']) {
    const { text } = await fleet.giveKey(team);
    keys.push(text, `${text.slice(0, -4)}0000`);
    await waitFor('the key to work at every daemon', async () => {
      const answers = await Promise.all(
        fleet.daemons.map((one) => sendWithHeader(one, KEYED_ROUTES[2] ?? '', `Bearer ${text}`)),
      );
      return answers.every(({ status }) => status === 200);
    });
    await Promise.all(fleet.daemons.map((daemon) => sendMixedRequests(daemon, text)));
  }
  const wrong = keys.filter((_, index) => index % 2 === 1);
  await Promise.all(
    fleet.daemons.flatMap((one) => wrong.map((text) => sendOnKeyedRoutes(one, `Bearer ${text}`))),
  );
});

When(
  'a confidential key is withdrawn by its id, and its text is given to an operator by mistake',
  async () => {
    const { fleet, keys } = getConfidentialState();
    const [daemon] = fleet.daemons;
    const [text] = keys;
    assert.ok(daemon && text);
    const { calls } = fleet.operatorClient(daemon);
    await assert.rejects(calls.withdrawKey({ keyId: text, operator: 'harness' }));
    const changeJson = JSON.stringify({ kind: 'withdraw-key', keyId: text });
    const { verdict } = await calls.change({ changeJson, base: -1n, operator: 'harness' });
    assert.equal(verdict, 'invalid');
    const [, keyId = ''] = text.split('_');
    await calls.withdrawKey({ keyId, operator: 'harness' });
    await Promise.all(fleet.daemons.map((one) => sendOnKeyedRoutes(one, `Bearer ${text}`)));
  },
);

Then(
  'no confidential key is in any record, log line, trace, datagram, stream or message',
  async () => {
    const { fleet, datagrams, keys } = getConfidentialState();
    await waitFor('metrics of every daemon', () =>
      fleet.daemons.every(({ name }) => datagrams.text().includes(name)),
    );
    // Daemons write their spans and copy their decisions to peers about once a second.
    await waitFor('spans of every daemon and copies of the last decisions', async () => {
      const collected = await collectOutputs(fleet);
      const traces = collected.filter(({ name }) => name.startsWith('traces'));
      const calls = collected.filter(({ name }) => name.startsWith('calls of peers'));
      const hasDecisions = calls.some(({ text }) => text.includes('key_withdrawn'));
      return hasDecisions && traces.every(({ text }) => text.includes('traceId'));
    });
    const outputs: CollectedOutput[] = [
      ...(await collectOutputs(fleet)),
      { name: 'datagrams', text: datagrams.text() },
    ];
    const forms = keys.flatMap(listKeyForms);
    const found = outputs.filter(({ text }) => forms.some((form) => text.includes(form)));
    assert.deepEqual(
      found.map(({ name }) => name),
      [],
    );
    const characters = outputs.reduce((sum, { text }) => sum + text.length, 0);
    reportFigure(
      scenario,
      `${forms.length} forms of keys, ${outputs.length} places, ${characters} B`,
    );
    // A search in an empty output proves nothing, so each kind of output must contain known text.
    const requiredContent: [RegExp, string][] = [
      [/^record of decode/, 'oval-crew'],
      [/^record of yard/, 'oval-crew'],
      [/^record of log/, 'give-key'],
      [/^log lines/, 'request refused'],
      [/^traces/, 'traceId'],
      [/^calls of peers/, '/cuminspar.peer.v1.'],
      // One is in the compressed batches of decisions, the other is a response header.
      [/^calls of peers/, 'key_withdrawn'],
      [/^calls of peers/, '":status":200'],
      [/^bytes to-target of (?:decode|prefill)/, 'roll the square'],
      [/^bytes to-target of yard/, 'x-team'],
      [/^bytes to-target of log access/, '/v1/streams/'],
    ];
    requiredContent.forEach(([name, content]) => {
      const matching = outputs.filter((output) => name.test(output.name));
      assert.ok(matching.length > 0, String(name));
      assert.ok(
        matching.some(({ text }) => text.includes(content)),
        `no output that matches ${name} contains ${content}`,
      );
    });
  },
);
