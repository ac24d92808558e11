import { setMaxListeners } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { Deadline } from '../../src/kernel/deadline.js';

/** Closed-loop load: each caller sends its next request as soon as the previous one is answered. */
export interface FloodPlan {
  readonly key: string;
  readonly callers: number;
  /** Daemons to call; evaluated before each request, so the targets may change during the load. */
  readonly targets: () => readonly FleetDaemon[];
}

/** A load in progress. */
export interface Flood {
  /** Number of requests by refusal code, `ok` or `broken`; `none` if there was no target. */
  readonly counts: ReadonlyMap<string, number>;
  readonly stop: () => Promise<void>;
}

/** Delay before a caller sends again after any result but `ok`. */
const RETRY_DELAY_MS = 50;

/**
 * Time after which a caller abandons a request to a daemon that does not answer, such as a frozen
 * one.
 */
const ANSWER_TIMEOUT_MS = 3000;

const PROMPT = 'survey of the outfield before the second match day '.repeat(14);

const OUTPUT_TOKENS = 20;

/** Makes every second answer end early, so that unused tokens are refunded. */
const EARLY_STOP_SUFFIX = 'stop-after=5';

/**
 * Starts the callers of a load.
 *
 * @param plan - key, number of callers and targets
 * @returns the load in progress
 */
export function startFlood(plan: FloodPlan): Flood {
  const ended = new AbortController();
  setMaxListeners(2 * plan.callers, ended.signal);
  const counts = new Map<string, number>();
  const callers = Array.from({ length: plan.callers }, (_, caller) =>
    runCaller(plan, caller, ended.signal, counts),
  );
  return {
    counts,
    stop: async () => {
      ended.abort();
      await Promise.all(callers);
    },
  };
}

async function runCaller(
  plan: FloodPlan,
  caller: number,
  ended: AbortSignal,
  counts: Map<string, number>,
): Promise<void> {
  for (let turn = caller; !ended.aborted; turn += 1) {
    const targets = plan.targets();
    const target = targets[turn % targets.length];
    const seen = target ? await ask(target, plan.key, turn, ended) : 'none';
    counts.set(seen, (counts.get(seen) ?? 0) + 1);
    if (seen !== 'ok') await delay(RETRY_DELAY_MS, undefined, { signal: ended }).catch(() => {});
  }
}

async function ask(
  target: FleetDaemon,
  key: string,
  turn: number,
  ended: AbortSignal,
): Promise<string> {
  const early = turn % 2 === 0 ? EARLY_STOP_SUFFIX : '';
  const deadline = Deadline.create(ANSWER_TIMEOUT_MS);
  const signal = AbortSignal.any([ended, deadline.signal]);
  const call = { model: MODEL, prompt: `${turn} ${PROMPT}${early}`, maxTokens: OUTPUT_TOKENS };
  const answer = await callCompletion(target.callers, { ...call, key, signal, stream: true }).catch(
    () => undefined,
  );
  deadline.cancel();
  return answer ? (answer.code ?? 'ok') : 'broken';
}
