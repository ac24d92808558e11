import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import type { FleetDaemon } from '../../harness/fleet.js';
import type { TcpRelay } from '../../harness/tcp-relay.js';
import { waitFor } from '../../harness/wait-for.js';
import { startGuaranteeFleet, type GuaranteeWorld } from '../support/guarantees-fleet.js';
import { lookUpJob, placeOrder } from '../support/guarantees-services.js';
import { assertWhole, beginStream } from '../support/guarantees-streams.js';

interface SilenceWorld extends GuaranteeWorld {
  silencedMs: number;
  pending: Promise<unknown>[];
}

const scenario = world as unknown as SilenceWorld;

type SilentTarget = 'engines' | 'plain services' | 'the log' | 'peers';

/** Concurrent requests of each kind, so that each daemon keeps several connections open. */
const REQUESTS_PER_KIND = 4;

const STREAM_TOKENS = 5;

function listRelays({ fleet }: SilenceWorld, target: SilentTarget): TcpRelay[] {
  const servers = [...fleet.serverLinks];
  if (target === 'engines') {
    return servers.filter(([name]) => !name.startsWith('yard')).map(([, relay]) => relay);
  }
  if (target === 'plain services') {
    return servers.filter(([name]) => name.startsWith('yard')).map(([, relay]) => relay);
  }
  const kind = target === 'the log' ? 'log' : 'peers';
  return fleet.daemons.flatMap(({ links }) => (links ? [links[kind]] : []));
}

async function assertStatus(answer: ReturnType<typeof lookUpJob>): Promise<void> {
  const { status, text } = await answer;
  assert.equal(status, 200, text);
}

function sendAllKinds({ crewKey }: SilenceWorld, daemon: FleetDaemon): Promise<void>[] {
  const stream = async (index: number) => {
    const plan = { key: crewKey, prompt: `silent ${index}`, maxTokens: STREAM_TOKENS };
    await assertWhole(beginStream(daemon, plan));
  };
  return Array.from({ length: REQUESTS_PER_KIND }, (_, index) => [
    stream(index),
    assertStatus(lookUpJob(daemon, crewKey)),
    assertStatus(placeOrder(daemon, crewKey)),
  ]).flat();
}

Given('a silence-prone fleet with connections in use', async () => {
  const settings = {
    timeouts: {
      ...{ connectMs: 500, engineMs: 500, prefillMs: 1000, transferMs: 1000 },
      betweenTokensMs: 500,
    },
  };
  await startGuaranteeFleet(scenario, { relayed: true, prefills: 2, settings });
  await Promise.all(scenario.fleet.daemons.flatMap((daemon) => sendAllKinds(scenario, daemon)));
});

When('the silence-prone connections to {} go silent for good', (target: SilentTarget) => {
  const relays = listRelays(scenario, target);
  assert.ok(
    relays.some((relay) => relay.countOpenConnections() > 0) || target === 'plain services',
  );
  relays.forEach((relay) => relay.silenceOpenConnections());
  scenario.silencedMs = performance.now();
  scenario.pending = scenario.fleet.daemons.flatMap((daemon) => sendAllKinds(scenario, daemon));
});

Then('every silence-prone request ends within {int} s', async (seconds: number) => {
  const ends = await Promise.allSettled(scenario.pending);
  const elapsedMs = Math.round(performance.now() - scenario.silencedMs);
  const failed = ends.filter(({ status }) => status === 'rejected').length;
  scenario.log(`all ${ends.length} ended after ${elapsedMs} ms, ${failed} with an error`);
  assert.ok(elapsedMs <= seconds * 1000, `the last one ended after ${elapsedMs} ms`);
});

Then(
  'every silence-prone daemon answers all kinds of requests within {int} s',
  async (seconds: number) => {
    const startMs = performance.now();
    await waitFor('every daemon to be ready', async () => {
      await Promise.all(
        scenario.fleet.daemons.map((daemon) => scenario.fleet.waitUntilReady(daemon)),
      );
      return true;
    });
    await Promise.all(scenario.fleet.daemons.flatMap((daemon) => sendAllKinds(scenario, daemon)));
    const elapsedMs = Math.round(performance.now() - startMs);
    scenario.log(`all kinds answered after ${elapsedMs} ms`);
    assert.ok(elapsedMs <= seconds * 1000, `the answers took ${elapsedMs} ms`);
  },
);

Then('no silence-prone member is removed', async () => {
  const { streams } = await scenario.fleet.log.readRecord<{
    streams: Record<string, { data: string }[]>;
  }>();
  const removed = (streams.membership ?? []).filter(({ data }) => data.includes('"removed"'));
  assert.deepEqual(removed, []);
});
