import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { startFleet, type Fleet, type FleetDaemon } from '../../harness/fleet.js';
import { lastDaemonOf } from '../../harness/find-daemon.js';
import { planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { readReadiness, reconnect, waitForIsolation } from '../support/guarantees-entry.js';
import {
  OPEN_ROUTE,
  sendOnKeyedRoutes,
  sendWithHeader,
} from '../support/guarantees-key-requests.js';
import { openStream, type OpenStream } from '../support/guarantees-key-streams.js';
import { reportFigure, type Reporter } from '../support/guarantees-report.js';
import { WITHDRAWAL_CONDITIONS } from '../support/guarantees-withdrawal-conditions.js';

/** Upper bound on the time from a withdrawal until the key has stopped working, in milliseconds. */
const WITHDRAWAL_BOUND_MS = 4000;

/** Ten seconds at the engines' 5 ms per token, so that a stream outlasts the bound. */
const LONG_ANSWER_TOKENS = 2000;

interface Key {
  readonly keyId: string;
  readonly text: string;
}

interface WithdrawalWorld extends Reporter {
  withdrawing?: {
    readonly fleet: Fleet;
    readonly key: Key;
    readonly kept: Key;
    streams: OpenStream[];
    keptStreams: OpenStream[];
    withdrawnMs: number;
  };
}

const scenario = world as unknown as WithdrawalWorld;

function getWithdrawalState() {
  assert.ok(scenario.withdrawing);
  return scenario.withdrawing;
}

async function isRefused(daemon: FleetDaemon, { text }: Key, code: string): Promise<boolean> {
  const answers = await sendOnKeyedRoutes(daemon, `Bearer ${text}`);
  return answers.every((answer) => answer.code === code);
}

async function isKnown(daemon: FleetDaemon, { text }: Key): Promise<boolean> {
  const answer = await sendWithHeader(daemon, '/v1/entry-addresses', `Bearer ${text}`);
  return answer.status === 200;
}

async function isServed(daemon: FleetDaemon, { text }: Key): Promise<boolean> {
  const answers = await sendOnKeyedRoutes(daemon, `Bearer ${text}`);
  return answers.every(({ status }) => status === 200);
}

/**
 * Waits until a daemon is ready and checks that it serves the withdrawn key neither before nor
 * then.
 */
async function waitReadyWithoutKey(daemon: FleetDaemon, key: Key, kept: Key): Promise<void> {
  // A failed assertion inside waitFor would only be retried, so the result is checked after it.
  let served = false;
  await waitFor(
    `${daemon.name} to be ready`,
    async () => {
      served ||= await isServed(daemon, key);
      return (await readReadiness(daemon)) === 'ready';
    },
    { timeoutMs: 10_000 },
  );
  assert.equal(served, false);
  assert.ok(await isRefused(daemon, key, 'key_withdrawn'));
  await waitFor('the other key to be served', () => isServed(daemon, kept));
}

After(async () => {
  const { streams = [], keptStreams = [] } = scenario.withdrawing ?? {};
  [...streams, ...keptStreams].forEach((stream) => stream.abort());
  await scenario.withdrawing?.fleet.stop();
});

Given(
  'a key-withdrawing fleet of {int} daemons with two keys of one team',
  async (daemons: number) => {
    const plan = planSmallFleet({ daemons, services: 1, relayed: true });
    const fleet = await startFleet(plan);
    const key = await fleet.giveKey('oval-crew');
    const kept = await fleet.giveKey('oval-crew');
    await waitFor('both keys to be known at every daemon', async () => {
      const known = fleet.daemons.flatMap((daemon) =>
        [key, kept].map((one) => isKnown(daemon, one)),
      );
      return (await Promise.all(known)).every(Boolean);
    });
    scenario.withdrawing = { fleet, key, kept, streams: [], keptStreams: [], withdrawnMs: 0 };
  },
);

Given('key-withdrawing callers read a stream with each key through every daemon', async () => {
  const withdrawing = getWithdrawalState();
  const { fleet, key, kept } = withdrawing;
  const openAll = ({ text }: Key) =>
    Promise.all(fleet.daemons.map((daemon) => openStream(daemon, text, LONG_ANSWER_TOKENS)));
  [withdrawing.streams, withdrawing.keptStreams] = await Promise.all([openAll(key), openAll(kept)]);
});

When('the key-withdrawing operator withdraws one key while {string}', async (name: string) => {
  const withdrawing = getWithdrawalState();
  const { fleet, key } = withdrawing;
  const condition = WITHDRAWAL_CONDITIONS.get(name);
  assert.ok(condition, `no condition "${name}"`);
  await condition(fleet);
  withdrawing.withdrawnMs = performance.now();
  const [first] = fleet.daemons;
  assert.ok(first);
  // Not awaited: the answer waits for the log, but the bound counts from the request.
  void fleet
    .operatorClient(first)
    .calls.withdrawKey({ keyId: key.keyId, operator: 'harness' })
    .catch(() => undefined);
});

Then('the key-withdrawing streams of that key end with an error event in time', async () => {
  const { streams, withdrawnMs } = getWithdrawalState();
  const leftMs = WITHDRAWAL_BOUND_MS - (performance.now() - withdrawnMs);
  const haveEnded = () => streams.every((stream) => stream.endedMs() !== undefined);
  await waitFor('the streams to end', haveEnded, { timeoutMs: leftMs, intervalMs: 5 });
  const answers = await Promise.all(streams.map(({ answer }) => answer));
  answers.forEach((answer) => {
    assert.equal(answer?.complete, false);
    assert.match(answer.code ?? '', /^(?:key_withdrawn|isolated)$/);
  });
  const lastMs = Math.max(...streams.map((stream) => stream.endedMs() ?? Infinity));
  reportFigure(
    scenario,
    `streams ended ${Math.round(lastMs - withdrawnMs)} ms after the withdrawal`,
  );
});

Then(
  'key-withdrawing daemons refuse that key in time with {string}, the last one with {string}',
  async (code: string, lastCode: string) => {
    const { fleet, key, withdrawnMs } = getWithdrawalState();
    const leftMs = WITHDRAWAL_BOUND_MS - (performance.now() - withdrawnMs);
    await waitFor(
      'every daemon to refuse the key',
      async () => {
        const refused = fleet.daemons.map((daemon) =>
          isRefused(daemon, key, daemon === lastDaemonOf(fleet) ? lastCode : code),
        );
        return (await Promise.all(refused)).every(Boolean);
      },
      { timeoutMs: Math.max(0, leftMs) },
    );
    const elapsedMs = Math.round(performance.now() - withdrawnMs);
    reportFigure(scenario, `refused by all daemons ${elapsedMs} ms after the withdrawal`);
  },
);

Then(
  'the key-withdrawing streams of the other key go on through {int} daemons',
  async (daemons: number) => {
    const running = getWithdrawalState().keptStreams.slice(0, daemons);
    const counts = running.map((stream) => stream.tokens());
    await waitFor('more tokens on each stream', () =>
      running.every((stream, index) => stream.tokens() > (counts[index] ?? 0)),
    );
    running.forEach((stream) => assert.equal(stream.endedMs(), undefined));
  },
);

Then(
  'the key-withdrawing daemon that is cut off is not ready and still serves open routes',
  async () => {
    const { fleet, kept, withdrawnMs } = getWithdrawalState();
    const daemon = lastDaemonOf(fleet);
    const leftMs = WITHDRAWAL_BOUND_MS - (performance.now() - withdrawnMs);
    await waitForIsolation(daemon, Math.max(1, leftMs));
    assert.ok(await isRefused(daemon, kept, 'isolated'));
    const open = await sendWithHeader(daemon, OPEN_ROUTE, undefined);
    assert.equal(open.status, 200);
  },
);

Then(
  'the key-withdrawing daemon refuses that key as withdrawn when it is connected again',
  async () => {
    const { fleet, key, kept } = getWithdrawalState();
    const daemon = lastDaemonOf(fleet);
    reconnect(fleet, daemon);
    await waitReadyWithoutKey(daemon, key, kept);
  },
);

When('a key-withdrawing daemon is added', async () => {
  const { fleet } = getWithdrawalState();
  await fleet.addDaemon();
});

Then('the key-withdrawing daemon that was added never runs that key', async () => {
  const { fleet, key, kept } = getWithdrawalState();
  const daemon = lastDaemonOf(fleet);
  const requests = Array.from({ length: 20 }, () =>
    sendOnKeyedRoutes(daemon, `Bearer ${key.text}`),
  );
  const early = (await Promise.all(requests)).flat().map(({ code }) => code);
  reportFigure(scenario, `first answers of the new daemon: ${[...new Set(early)].join(', ')}`);
  assert.ok(early.every((code) => code !== undefined));
  await fleet.log.clearFaults();
  await waitReadyWithoutKey(daemon, key, kept);
});
