import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { TeamRateLimiter } from '../../src/relay/team-rate-limiter.js';

interface RateVm {
  readonly name: string;
  readonly rateLimiter: TeamRateLimiter;
  readonly lastDigestMs: Map<string, number>;
}

interface RateWorld {
  vms: RateVm[];
  rate: number;
  digestIntervalMs: number;
  partition: { vms: Set<string>; fromMs: number; toMs: number } | undefined;
  admitted: { atMs: number; tokens: number }[];
  refused: number;
  smallRefused: number;
}

const scenario = world as unknown as RateWorld;

const WINDOW_MS = 8000;
const TOLERANCE = { part: 0.1, tokens: 110_000, windowMs: WINDOW_MS };
const TOKENS = 5000;
const SMALL_TOKENS = 200;
const UNREACHABLE_AFTER_MS = 1200;
const TEAM = 'hot';

function isConnected(left: string, right: string, nowMs: number): boolean {
  const { partition } = scenario;
  if (!partition || nowMs < partition.fromMs || nowMs >= partition.toMs) return true;
  return partition.vms.has(left) === partition.vms.has(right);
}

function exchangeDigests(nowMs: number): void {
  const { vms } = scenario;
  vms.forEach((receiver) => {
    vms
      .filter(({ name }) => name !== receiver.name && isConnected(name, receiver.name, nowMs))
      .forEach((sender) => {
        receiver.rateLimiter.recordSpent(sender.name, sender.rateLimiter.spent, nowMs);
        receiver.lastDigestMs.set(sender.name, nowMs);
      });
    const unreachable = [...receiver.lastDigestMs.values()].filter(
      (atMs) => nowMs - atMs > UNREACHABLE_AFTER_MS,
    ).length;
    receiver.rateLimiter.setUnreachableFraction(unreachable / vms.length, nowMs);
  });
}

Given(
  '{int} relay VMs with a team of {int} tokens a second, and digests every {int} ms',
  (vms: number, rate: number, digestIntervalMs: number) => {
    const team = { name: TEAM, tokensPerSecond: rate, burstTokens: rate };
    scenario.vms = Array.from({ length: vms }, (_, index) => {
      const rateLimiter = TeamRateLimiter.create(TOLERANCE);
      rateLimiter.configure([team], 0);
      return { name: String(index + 1), rateLimiter, lastDigestMs: new Map<string, number>() };
    });
    Object.assign(scenario, {
      rate,
      digestIntervalMs,
      partition: undefined,
      admitted: [],
      refused: 0,
      smallRefused: 0,
    });
  },
);

Given(
  'relay VMs {int} and {int} are partitioned from the others from {int} s to {int} s',
  (first: number, second: number, from: number, to: number) => {
    const vms = new Set([String(first), String(second)]);
    scenario.partition = { vms, fromMs: from * 1000, toMs: to * 1000 };
  },
);

function runLoad(factor: number, seconds: number, smallPerSecond: number): void {
  const { vms, rate, digestIntervalMs, admitted } = scenario;
  const pauseMs = (TOKENS * 1000) / (rate * factor);
  const smallPauseMs = smallPerSecond > 0 ? 1000 / smallPerSecond : Infinity;
  let nextMs = 0;
  let nextSmallMs = smallPauseMs;
  let turn = 0;
  const send = (tokens: number, nowMs: number) => {
    const { rateLimiter } = vms[turn % vms.length]!;
    turn += 1;
    const team = { tokensPerSecond: rate, burstTokens: rate };
    if (rateLimiter.admit(TEAM, team, tokens, nowMs).kind === 'admitted') {
      admitted.push({ atMs: nowMs, tokens });
    } else if (tokens === TOKENS) scenario.refused += 1;
    else scenario.smallRefused += 1;
  };
  for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1) {
    if (nowMs % digestIntervalMs === 0) exchangeDigests(nowMs);
    for (; nextMs <= nowMs; nextMs += pauseMs) send(TOKENS, nowMs);
    for (; nextSmallMs <= nowMs; nextSmallMs += smallPauseMs) send(SMALL_TOKENS, nowMs);
  }
}

When(
  'the team sends {float} times its rate for {int} s through all relay VMs',
  (factor: number, seconds: number) => runLoad(factor, seconds, 0),
);

When(
  'the team sends {float} times its rate for {int} s through all relay VMs, and {int} small requests a second',
  (factor: number, seconds: number, smallPerSecond: number) =>
    runLoad(factor, seconds, smallPerSecond),
);

Then('the relay refuses none of its small requests', () => {
  assert.equal(scenario.smallRefused, 0);
});

Then('the relay admits at most what the tolerance allows in every 8 s', () => {
  const { admitted, rate } = scenario;
  const bound = ((rate * WINDOW_MS) / 1000 + rate) * (1 + TOLERANCE.part) + TOLERANCE.tokens;
  const max = Math.max(
    ...admitted.map(({ atMs: fromMs }) =>
      admitted
        .filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .reduce((sum, { tokens }) => sum + tokens, 0),
    ),
  );
  assert.ok(max <= bound, `${max} tokens in a window, bound ${bound}`);
});

Then('the relay admits at least 90 percent of the rate', () => {
  const total = scenario.admitted.reduce((sum, { tokens }) => sum + tokens, 0);
  assert.ok(total >= 0.9 * scenario.rate * 30, `${total} tokens`);
});

Then('the relay refuses none of its requests', () => {
  assert.equal(scenario.refused, 0);
});
