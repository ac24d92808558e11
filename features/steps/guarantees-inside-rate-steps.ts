import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { startFleet, type Fleet, type FleetDaemon } from '../../harness/fleet.js';
import { planChanges, planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { findHomes, waitForMember } from '../support/guarantees-entry.js';
import {
  TOKENS_PER_REQUEST,
  startEntryLoad,
  type EntryLoadCounts,
} from '../support/guarantees-entry-load.js';
import { reportFigure, type Reporter } from '../support/guarantees-report.js';

const TEAM = { name: 'inside-team', rate: 2000, burst: 6000 };

/** Fraction of the rate that the callers use. */
const LOAD_FRACTION = 0.6;

const CALLERS = 20;

/** Maximum number of refusals whose decisions are included in a failure message. */
const MAX_EXPLAINED = 5;

/** Fast prefill, so that the team's tokens are the only bottleneck. */
const ENGINE_ARGS = ['--prefill-tokens-per-second', '200000'];

interface InsideRateWorld extends Reporter {
  inside?: { readonly fleet: Fleet; counts?: EntryLoadCounts };
}

const scenario = world as unknown as InsideRateWorld;

function getInsideRateState() {
  assert.ok(scenario.inside);
  return scenario.inside;
}

function countRefused({ refused }: EntryLoadCounts): number {
  return [...refused.values()].reduce((sum, count) => sum + count, 0);
}

async function waitForRequests(counts: EntryLoadCounts, more: number): Promise<void> {
  const target = counts.sent + more;
  await waitFor(`${more} more requests`, () => counts.sent >= target, { timeoutMs: 15_000 });
}

/** Kills a daemon, waits until its share can move to another one, and adds a new daemon. */
async function replaceDaemon(
  fleet: Fleet,
  victim: FleetDaemon,
  witness: FleetDaemon,
): Promise<void> {
  await victim.process.kill();
  await waitForMember(fleet, witness, victim.name, false);
  const added = await fleet.addDaemon();
  await fleet.waitUntilReady(added);
}

/** Reads the daemons' decisions on refused requests, so that a failure message states the cause. */
async function explainRefusals(fleet: Fleet, requestIds: readonly string[]): Promise<string> {
  const answers = await Promise.all(
    fleet.daemons.flatMap((daemon) => {
      const { calls } = fleet.operatorClient(daemon);
      return requestIds.map((requestId) => calls.explain({ requestId }).catch(() => undefined));
    }),
  );
  return answers
    .flatMap((answer) => answer?.decisions ?? [])
    .map(({ vm, step, reason, factsJson }) => `${vm} ${step}: ${reason} ${factsJson}`)
    .join('\n');
}

After(async () => {
  await scenario.inside?.fleet.stop();
});

Given('an inside-rate fleet of {int} daemons', async (daemons) => {
  const changes = [...planChanges(), { kind: 'put-team', team: TEAM }];
  const settings = { entryAddresses: { validForMs: 2000 } };
  const size = { daemons: Number(daemons), engineArgs: ENGINE_ARGS, services: 0 };
  scenario.inside = { fleet: await startFleet(planSmallFleet({ ...size, changes, settings })) };
});

When('inside-rate callers follow the entry addresses while {string}', async (event: string) => {
  const inside = getInsideRateState();
  const { fleet } = inside;
  const { text: key } = await fleet.giveKey(TEAM.name);
  const { homes, others } = await findHomes(fleet, key);
  const [home] = homes;
  const [other] = others;
  assert.ok(home && other);
  const perSecond = (LOAD_FRACTION * TEAM.rate) / TOKENS_PER_REQUEST / CALLERS;
  const plan = { key, callers: CALLERS, perSecond, known: [...fleet.daemons] };
  const load = startEntryLoad(plan);
  inside.counts = load.counts;
  await waitForRequests(load.counts, 100);
  if (event === 'a home dies') await replaceDaemon(fleet, home, other);
  if (event === 'another daemon dies') await replaceDaemon(fleet, other, home);
  await waitForRequests(load.counts, 150);
  await load.stop();
});

Then(
  'inside-rate callers are refused in less than {float} percent of their requests',
  async (maxPercent: number) => {
    const { counts, fleet } = getInsideRateState();
    assert.ok(counts);
    const { sent, whole, broken, refused, hosts } = counts;
    const codes = JSON.stringify(Object.fromEntries(refused));
    const figures = `${sent} sent, ${whole} whole, ${broken} broken, refused ${codes}`;
    reportFigure(scenario, `${figures}, through ${hosts.size} daemons`);
    assert.ok(hosts.size > 2, 'the callers sent to the homes only');
    const refusals = await explainRefusals(fleet, counts.refusedIds.slice(0, MAX_EXPLAINED));
    assert.ok(whole > 0.9 * sent, `${figures}\n${refusals}`);
    assert.ok((100 * countRefused(counts)) / sent < maxPercent, `${figures}\n${refusals}`);
  },
);
