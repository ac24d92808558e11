import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { RETRIES, type FleetSimulation, type SimulatedVm } from '../../harness/fleet-simulation.js';
import { SendCharges, type SendKind } from '../../src/relay/send-charges.js';

/** Load and failures of a retry simulation. */
export interface RetryLoad {
  readonly seed: number;
  readonly durationMs: number;
  /** Requests a second over the whole fleet. */
  readonly requestsPerSecond: number;
  /** Times between which all servers reset their runs, in milliseconds since the start. */
  readonly resets: readonly (readonly [fromMs: number, toMs: number])[];
  /** Only requests of the first VMs fail; undefined when those of all VMs do. */
  readonly failingVms?: number;
  /** Called once in each step, with the time since the start, to kill or add VMs. */
  readonly disturb?: (elapsedMs: number) => Promise<void>;
}

/** An arrival at a server, as the server sees it. */
export interface Arrival {
  readonly atMs: number;
  readonly request: string;
  readonly kind: SendKind;
  readonly accepted: boolean;
}

/** What the servers and callers of a simulation have seen. */
export interface RetryResult {
  readonly arrivals: Arrival[];
  readonly requestsMs: number[];
  /** Number of requests that failed in the end. */
  readonly cut: number;
}

interface OpenRequest {
  readonly request: string;
  readonly vm: SimulatedVm;
  readonly charges: SendCharges;
  readonly round: number;
  readonly nextMs: number;
}

/** Name of the pool. */
const POOL = 'planner';

/** Step of the simulation, in milliseconds. */
const STEP_MS = 40;

/** Time between two rounds of a request, in milliseconds. */
const ROUND_MS = 120;

/** Rounds after which a request is given up. */
const MAX_ROUNDS = 4;

const ROUND: readonly SendKind[] = ['prefill', 'run'];

/**
 * Sends requests through all VMs of a fleet. Each round has the prompt read and runs the request; while
 * servers reset their runs, it fails and the next round begins if the retry budget covers it.
 *
 * @param simulation - the fleet
 * @param load - requests, failures and disturbances
 * @returns what servers and callers saw
 */
export async function simulateRetries(
  simulation: FleetSimulation,
  load: RetryLoad,
): Promise<RetryResult> {
  const arrivals: Arrival[] = [];
  const requestsMs: number[] = [];
  const failed: string[] = [];
  const generator = xoroshiro128plus(load.seed);
  const startMs = simulation.clock.monotonicMs();
  let open: OpenRequest[] = [];
  let due = 0;
  for (let elapsedMs = 0; elapsedMs < load.durationMs; elapsedMs += STEP_MS) {
    const nowMs = startMs + elapsedMs;
    const live = simulation.liveVms;
    due += (load.requestsPerSecond * STEP_MS) / 1000;
    for (; due >= 1; due -= 1) {
      const vm = live[uniformInt(generator, 0, live.length - 1)]!;
      open.push(openRequest(vm, `r${requestsMs.length}`, nowMs));
      requestsMs.push(elapsedMs);
    }
    const resets = load.resets.some(([from, to]) => elapsedMs >= from && elapsedMs < to);
    const waiting: OpenRequest[] = [];
    open
      .filter(({ vm }) => vm.alive)
      .forEach((each) => {
        if (nowMs < each.nextMs) {
          waiting.push(each);
          return;
        }
        const fails = resets && simulation.vms.indexOf(each.vm) < (load.failingVms ?? Infinity);
        const round = runRound(each, fails, nowMs);
        arrivals.push(...round.kinds.map((kind) => createArrival(each, kind, fails, elapsedMs)));
        if (round.next) waiting.push(round.next);
        else if (fails) failed.push(each.request);
      });
    open = waiting;
    await simulation.advance(STEP_MS);
    await load.disturb?.(elapsedMs);
  }
  return { arrivals, requestsMs, cut: failed.length };
}

function openRequest(vm: SimulatedVm, request: string, nowMs: number): OpenRequest {
  const budget = vm.retryBudgets.forPool(POOL);
  budget.recordRequest(nowMs);
  const charges = SendCharges.create(budget, () => vm.fleet.contact);
  return { request, vm, charges, round: 0, nextMs: nowMs };
}

function isAccepted(kind: SendKind, fails: boolean): boolean {
  return kind === 'prefill' || !fails;
}

function createArrival(
  { request }: OpenRequest,
  kind: SendKind,
  fails: boolean,
  atMs: number,
): Arrival {
  return { atMs, request, kind, accepted: isAccepted(kind, fails) };
}

/** Runs one round; returns the sends that arrived and the request if another round follows. */
function runRound(
  open: OpenRequest,
  fails: boolean,
  nowMs: number,
): { readonly kinds: readonly SendKind[]; readonly next: OpenRequest | undefined } {
  const { charges } = open;
  const uncovered = ROUND.findIndex((kind) => {
    const settle = charges.begin(kind, nowMs);
    settle?.(isAccepted(kind, fails) ? 'accepted' : 'not accepted', nowMs);
    return !settle;
  });
  const kinds = uncovered < 0 ? ROUND : ROUND.slice(0, uncovered);
  const round = open.round + 1;
  const isCovered = uncovered < 0 && round < MAX_ROUNDS && charges.prepay(ROUND, nowMs);
  if (fails && isCovered) return { kinds, next: { ...open, round, nextMs: nowMs + ROUND_MS } };
  charges.refundUnused(nowMs);
  return { kinds, next: undefined };
}

/**
 * Lists the arrivals that count as retries: all but the first of a request and the first accepted one
 * that only had its prompt read.
 *
 * @param arrivals - all arrivals, in order
 * @returns times of the retries, in milliseconds since the start
 */
export function listRetries(arrivals: readonly Arrival[]): number[] {
  const promptRead = new Set<string>();
  const arrived = new Set<string>();
  return arrivals
    .filter(({ request, kind, accepted }) => {
      if (kind === 'prefill' && accepted && !promptRead.has(request)) {
        promptRead.add(request);
        return false;
      }
      if (arrived.has(request)) return true;
      arrived.add(request);
      return false;
    })
    .map(({ atMs }) => atMs);
}

/** Retries that arrived in a window, and how many were allowed in it. */
export interface RetryWindow {
  readonly fromMs: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * Finds the window that uses the largest part of what is allowed.
 *
 * @param result - what servers and callers saw
 * @returns the window
 */
export function findWorstWindow({ arrivals, requestsMs }: RetryResult): RetryWindow {
  const retriesMs = listRetries(arrivals);
  const { ratio, slack, windowMs } = RETRIES;
  const countIn = (times: readonly number[], fromMs: number) =>
    times.filter((atMs) => atMs >= fromMs && atMs < fromMs + windowMs).length;
  const windows = [...new Set(retriesMs)].map((fromMs) => ({
    fromMs,
    retries: countIn(retriesMs, fromMs),
    allowed: ratio * countIn(requestsMs, fromMs) + slack,
  }));
  return windows.reduce(
    (worst, each) => (each.retries / each.allowed > worst.retries / worst.allowed ? each : worst),
    { fromMs: 0, retries: 0, allowed: slack },
  );
}
