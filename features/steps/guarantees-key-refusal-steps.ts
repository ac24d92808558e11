import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { readEffects, readEngines } from '../../harness/engine-record.js';
import { startFleet, type Fleet } from '../../harness/fleet.js';
import { planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import {
  sendOnKeyedRoutes,
  sendWithHeader,
  type KeyAnswer,
} from '../support/guarantees-key-requests.js';

/** Builds the Authorization header of a case from a valid key. */
type HeaderBuilder = (fleet: Fleet, text: string) => Promise<string | undefined>;

const HEADER_BUILDERS: ReadonlyMap<string, HeaderBuilder> = new Map<string, HeaderBuilder>([
  ['no key', async () => undefined],
  ['an empty header', async () => ''],
  ['the secret of another key', swapSecret],
  ['a secret that is one character short', async (_fleet, text) => `Bearer ${text.slice(0, -1)}`],
  ['an unknown key id', async (_fleet, text) => `Bearer ${text.replace(/_[^_]+_/, '_0000abcd_')}`],
  ['a text that is no key', async () => 'Bearer groundstaff'],
  ['a key without a secret', async (_fleet, text) => `Bearer ${text.replace(/_[^_]+$/, '_')}`],
  ['a key in another scheme', async (_fleet, text) => `Basic ${btoa(`${text}:`)}`],
  ['two keys in one header', async (_fleet, text) => `Bearer ${text}, Bearer ${text}`],
  ['a key with a trailing word', async (_fleet, text) => `Bearer ${text} again`],
  ['a withdrawn key', withdraw],
  ['a key of a removed team', removeTeam],
]);

interface KeyRefusalWorld {
  refusing?: { readonly fleet: Fleet; readonly text: string; answers: KeyAnswer[] };
}

const scenario = world as unknown as KeyRefusalWorld;

function getRefusalState() {
  assert.ok(scenario.refusing);
  return scenario.refusing;
}

async function swapSecret(fleet: Fleet, text: string): Promise<string> {
  const other = await fleet.giveKey('school-grounds');
  const [, secret] = /_([^_]+)$/.exec(other.text) ?? [];
  return `Bearer ${text.replace(/[^_]+$/, secret ?? '')}`;
}

async function withdraw(fleet: Fleet): Promise<string> {
  const { keyId, text } = await fleet.giveKey('oval-crew');
  await fleet.apply([{ kind: 'withdraw-key', keyId }]);
  return `Bearer ${text}`;
}

async function removeTeam(fleet: Fleet): Promise<string> {
  await fleet.apply([{ kind: 'put-team', team: { name: 'guests', rate: 100, burst: 100 } }]);
  const { text } = await fleet.giveKey('guests');
  await fleet.apply([{ kind: 'remove-team', name: 'guests' }]);
  return `Bearer ${text}`;
}

async function waitUntilInForce(fleet: Fleet): Promise<void> {
  await waitFor('one configuration version at all daemons', async () => {
    const shown = await Promise.all(
      fleet.daemons.map((daemon) => fleet.operatorClient(daemon).calls.showConfiguration({})),
    );
    return new Set(shown.map(({ version }) => version)).size === 1;
  });
}

After(async () => {
  await scenario.refusing?.fleet.stop();
});

Given('a key-refusing fleet', async () => {
  const fleet = await startFleet(planSmallFleet({ daemons: 2, decodes: 1, services: 1 }));
  const { text } = await fleet.giveKey('oval-crew');
  scenario.refusing = { fleet, text, answers: [] };
});

When(
  'key-refusing daemons get requests with {string} on all keyed routes',
  async (name: string) => {
    const refusing = getRefusalState();
    const { fleet, text } = refusing;
    const authorization = await HEADER_BUILDERS.get(name)?.(fleet, text);
    assert.ok(HEADER_BUILDERS.has(name), `unknown case "${name}"`);
    await waitUntilInForce(fleet);
    const answers = await Promise.all(
      fleet.daemons.map((daemon) => sendOnKeyedRoutes(daemon, authorization)),
    );
    refusing.answers = answers.flat();
  },
);

Then('key-refusing daemons answer {int} {string}, not run', (status: number, code: string) => {
  const { answers } = getRefusalState();
  assert.equal(answers.length, 6);
  answers.forEach((answer) =>
    assert.deepEqual(answer, { route: answer.route, status, code, run: 'not run' }),
  );
});

Then('key-refusing fleet has run nothing, and runs the same requests with a good key', async () => {
  const { fleet, text } = getRefusalState();
  const count = async () => {
    const engines = [...(await readEngines(fleet)).values()];
    return engines.flatMap(({ attempts }) => attempts).length + (await readEffects(fleet)).length;
  };
  assert.equal(await count(), 0);
  const answers = await Promise.all(
    fleet.daemons.map((daemon) => sendOnKeyedRoutes(daemon, `Bearer ${text}`)),
  );
  assert.deepEqual([...new Set(answers.flat().map(({ status }) => status))], [200]);
  assert.ok((await count()) >= 6);
  const [daemon] = fleet.daemons;
  assert.ok(daemon);
  const entry = await sendWithHeader(daemon, '/v1/entry-addresses', 'Bearer groundstaff');
  assert.equal(entry.status, 401);
});
