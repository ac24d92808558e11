import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { DecodeQueue, type DecodeQueueEntry } from '../../src/relay/decode-queue.js';

/** Whether the VMs know each other's queues. */
export type QueueKnowledge = 'of all VMs' | 'of its own VM';

/** What became of the requests of a simulation, as fractions of all. */
export interface QueueFleetResult {
  readonly onTime: number;
  readonly served: number;
  /** Refused when they arrived, and when they came back. */
  readonly refused: number;
  /** Refused after they had waited as long as their callers do. */
  readonly held: number;
}

interface Waiting extends DecodeQueueEntry {
  readonly holdMs: number;
  readonly firstMs: number;
}

interface SimulatedVm {
  readonly queue: DecodeQueue<Waiting>;
  /** Free slots that this VM believes in, less its own starts since the last news. */
  believedFree: number;
  nextProbeMs: number;
}

const SLOTS = 200;
const MEAN_HOLD_MS = 3000;
const TARGET_MS = 700;
const PATIENCE_MS = 3400;
const END_MS = 24_000;

/** Time within which a caller wants its answer; it waits for a retry up to a third of what is left of it. */
const DEADLINE_MS = 14_000;
const STEP_MS = 10;
const PROBE_INTERVAL_MS = 250;
const LAST_ARRIVAL_MS = 15_000;
const BURST_FROM_MS = 5000;
const BURST_TO_MS = 10_000;

/**
 * Simulates VMs that each queue requests for the slots of one pool, without network. The load is 0.7 times
 * the slots, and 1.9 times in a burst.
 *
 * @param vmCount - number of VMs
 * @param newsMs - interval and age of what VMs know of each other and of free slots, in milliseconds
 * @param knowledge - whether the VMs know each other's queues
 * @param seed - seed of the load
 * @returns what became of the requests
 */
export function simulateQueueFleet(
  vmCount: number,
  newsMs: number,
  knowledge: QueueKnowledge,
  seed: number,
): QueueFleetResult {
  const random = xoroshiro128plus(seed);
  const counts = { all: 0, onTime: 0, served: 0, refused: 0, held: 0 };
  const busyUntil: number[] = [];
  const reports = { waiting: 0, punctual: 0, startsPerSecond: 0 };
  const returning: { atMs: number; holdMs: number; firstMs: number }[] = [];
  const clock = { nowMs: 0 };
  const vms: SimulatedVm[] = Array.from({ length: vmCount }, () => {
    const others = (vmCount - 1) / vmCount;
    const elsewhere = () => ({
      waiting: others * reports.waiting,
      punctual: others * reports.punctual,
      startsPerSecond: others * reports.startsPerSecond,
    });
    const queue = DecodeQueue.create<Waiting>(knowledge === 'of all VMs' ? elsewhere : undefined);
    return { queue, believedFree: SLOTS, nextProbeMs: 0 };
  });
  const leave = (holdMs: number, firstMs: number, retryAfterMs: number) => {
    const { nowMs } = clock;
    const mostMs = (DEADLINE_MS - (nowMs - firstMs)) / 3;
    if (nowMs - firstMs > TARGET_MS + 2 * STEP_MS) counts.refused += 1;
    else returning.push({ atMs: nowMs + Math.min(retryAfterMs, mostMs), holdMs, firstMs });
  };
  const dispatch = (vm: SimulatedVm) => {
    const { nowMs } = clock;
    vm.queue.expire(nowMs).forEach((waiting) => {
      if (waiting.giveUpMs < nowMs) counts.held += 1;
      else leave(waiting.holdMs, waiting.firstMs, vm.queue.estimateWaitMs(nowMs));
    });
    const isPunctualElsewhere = reports.punctual > vm.queue.punctualSize;
    const findNext = () => vm.queue.next(nowMs, isPunctualElsewhere);
    for (let next = findNext(); next; next = findNext()) {
      if (vm.believedFree < 1 && nowMs < vm.nextProbeMs) return;
      if (vm.believedFree < 1) Object.assign(vm, { nextProbeMs: nowMs + PROBE_INTERVAL_MS });
      Object.assign(vm, { believedFree: vm.believedFree - 1 });
      vm.queue.dequeue(next, nowMs);
      if (busyUntil.length >= SLOTS) {
        vm.queue.requeue(next, nowMs);
        return;
      }
      busyUntil.push(nowMs + next.holdMs);
      counts.served += 1;
      counts.onTime += nowMs <= next.startByMs ? 1 : 0;
    }
  };
  const arrive = (holdMs: number, firstMs: number) => {
    const { nowMs } = clock;
    const vm = vms[uniformInt(random, 0, vmCount - 1)]!;
    const times = { startByMs: firstMs + TARGET_MS, giveUpMs: nowMs + PATIENCE_MS, firstMs };
    const entry = { team: 'a', kvTokens: 1, priority: 1, insideRate: true, ...times, holdMs };
    const retryAfterMs = vm.queue.add(entry, nowMs);
    if (retryAfterMs > 0) leave(holdMs, firstMs, retryAfterMs);
  };
  for (; clock.nowMs < END_MS; clock.nowMs += STEP_MS) {
    const { nowMs } = clock;
    busyUntil.splice(0, busyUntil.length, ...busyUntil.filter((untilMs) => untilMs > nowMs));
    if (nowMs % newsMs === 0) {
      const sum = (count: (queue: DecodeQueue<Waiting>) => number) =>
        vms.reduce((total, { queue }) => total + count(queue), 0);
      reports.waiting = sum(({ size }) => size);
      reports.punctual = sum(({ punctualSize }) => punctualSize);
      reports.startsPerSecond = sum((queue) => queue.startsPerSecond(nowMs));
      vms.forEach((vm) => Object.assign(vm, { believedFree: SLOTS - busyUntil.length }));
    }
    const burst = nowMs >= BURST_FROM_MS && nowMs < BURST_TO_MS;
    const perStep = ((burst ? 1.9 : 0.7) * SLOTS * STEP_MS) / MEAN_HOLD_MS;
    const arrivals =
      Math.floor(perStep) + (uniformInt(random, 0, 9999) < (perStep % 1) * 10_000 ? 1 : 0);
    for (let count = 0; count < arrivals && nowMs < LAST_ARRIVAL_MS; count += 1) {
      const holdMs = uniformInt(random, 1000, 2 * MEAN_HOLD_MS - 1000);
      counts.all += 1;
      arrive(holdMs, nowMs);
    }
    returning
      .splice(0, returning.length, ...returning.filter(({ atMs }) => atMs > nowMs))
      .filter(({ atMs }) => atMs <= nowMs)
      .forEach(({ holdMs, firstMs }) => arrive(holdMs, firstMs));
    const first = uniformInt(random, 0, vmCount - 1);
    vms.forEach((_, index) => dispatch(vms[(first + index) % vmCount]!));
  }
  const { all, onTime, served, refused, held } = counts;
  return {
    onTime: onTime / all,
    served: served / all,
    refused: refused / all,
    held: held / all,
  };
}
