import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { startFleet, type Fleet, type FleetDaemon } from '../../harness/fleet.js';
import { planChanges, planSmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import { findHomes, waitForMember } from '../support/guarantees-entry.js';
import {
  FOLLOWER_TOKENS,
  startFollowers,
  type FollowerCounts,
} from '../support/guarantees-followers.js';
import { reportFigure, type Reporting } from '../support/guarantees-report.js';

const TEAM = { name: 'inside-team', rate: 2000, burst: 6000 };

/** Share of the rate that the callers use. */
const LOAD = 0.6;

const CALLERS = 20;

/** Refusals whose decisions are added to the message of a failure. */
const MOST_EXPLAINED = 5;

/** A fast link and prefill, so that only the tokens can be short. */
const ENGINE_ARGS = ['--prefill-tokens-per-second', '200000'];

interface InsideWorld extends Reporting {
  inside?: { readonly fleet: Fleet; counts?: FollowerCounts };
}

const scenario = world as unknown as InsideWorld;

function insideOf() {
  assert.ok(scenario.inside);
  return scenario.inside;
}

function countRefused({ refused }: FollowerCounts): number {
  return [...refused.values()].reduce((sum, count) => sum + count, 0);
}

async function waitForRequests(counts: FollowerCounts, more: number): Promise<void> {
  const target = counts.sent + more;
  await waitFor(`${more} more requests`, () => counts.sent >= target, { deadlineMs: 15_000 });
}

/** Kills a daemon, waits until its share can move, and adds another one. */
async function replace(fleet: Fleet, victim: FleetDaemon, witness: FleetDaemon): Promise<void> {
  await victim.process.kill();
  await waitForMember(fleet, witness, victim.name, false);
  const added = await fleet.addDaemon();
  await fleet.waitReady(added);
}

/** Reads what the daemons recorded about refused requests, so that a failed run names its cause. */
async function explainRefusals(fleet: Fleet, requestIds: readonly string[]): Promise<string> {
  const answers = await Promise.all(
    fleet.daemons.flatMap((daemon) => {
      const { calls } = fleet.operator(daemon);
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
  const inside = insideOf();
  const { fleet } = inside;
  const { text: key } = await fleet.giveKey(TEAM.name);
  const { homes, others } = await findHomes(fleet, key);
  const [home] = homes;
  const [other] = others;
  assert.ok(home && other);
  const perSecond = (LOAD * TEAM.rate) / FOLLOWER_TOKENS / CALLERS;
  const plan = { key, callers: CALLERS, perSecond, known: [...fleet.daemons] };
  const followers = startFollowers(plan);
  inside.counts = followers.counts;
  await waitForRequests(followers.counts, 100);
  if (event === 'a home dies') await replace(fleet, home, other);
  if (event === 'another daemon dies') await replace(fleet, other, home);
  await waitForRequests(followers.counts, 150);
  await followers.stop();
});

Then(
  'inside-rate callers are refused in less than {float} percent of their requests',
  async (most: number) => {
    const { counts, fleet } = insideOf();
    assert.ok(counts);
    const { sent, whole, broken, refused, hosts } = counts;
    const codes = JSON.stringify(Object.fromEntries(refused));
    const figures = `${sent} sent, ${whole} whole, ${broken} broken, refused ${codes}`;
    reportFigure(scenario, `${figures}, through ${hosts.size} daemons`);
    assert.ok(hosts.size > 2, 'the callers stayed at the homes');
    const refusals = await explainRefusals(fleet, counts.refusedIds.slice(0, MOST_EXPLAINED));
    assert.ok(whole > 0.9 * sent, `${figures}\n${refusals}`);
    assert.ok((100 * countRefused(counts)) / sent < most, `${figures}\n${refusals}`);
  },
);
