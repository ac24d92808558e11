import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { FairQueue } from '../../src/admission/fair-queue.js';
import { DecodeQueue, type DecodeQueueEntry } from '../../src/relay/decode-queue.js';

/** Queueing policy under comparison. */
export type QueuePolicy = 'relay' | 'first come' | 'least slack' | 'fair by team only';

interface SimulatedRequest extends DecodeQueueEntry {
  readonly arrivedMs: number;
  readonly holdMs: number;
}

interface QueueResult {
  readonly onTime: number;
  readonly worstTeam: number;
}

const SLOTS = 50;
const TARGET_MS = 900;
const START_MS = 200;
const PATIENCE_MS = 3600;
const END_MS = 20_000;
const STEP_MS = 10;
const TEAMS = ['hot', 'a', 'b', 'c', 'd'];

interface SimulatedQueue {
  add(request: SimulatedRequest, nowMs: number): void;
  next(nowMs: number): SimulatedRequest | undefined;
  dequeue(request: SimulatedRequest, nowMs: number): void;
}

/**
 * Creates a load of about 0.7 times the slots, and of 1.9 times the slots from 5 s to 10 s; during that
 * burst the hot team sends seven of eleven requests, otherwise two of eleven.
 */
function createRequests(seed: number): SimulatedRequest[] {
  const random = xoroshiro128plus(seed);
  const requests: SimulatedRequest[] = [];
  const meanHoldMs = 3000;
  for (let nowMs = 0; nowMs < 15_000; nowMs += STEP_MS) {
    const burst = nowMs >= 5000 && nowMs < 10_000;
    const perStep = ((burst ? 1.9 : 0.7) * SLOTS * STEP_MS) / meanHoldMs;
    if (uniformInt(random, 0, 9999) >= perStep * 10_000) continue;
    const hot = uniformInt(random, 0, 10) < (burst ? 7 : 2);
    const team = hot ? 'hot' : TEAMS[uniformInt(random, 1, 4)]!;
    requests.push({
      team,
      kvTokens: uniformInt(random, 5000, 15_000),
      priority: 1,
      insideRate: true,
      startByMs: nowMs + TARGET_MS - START_MS,
      giveUpMs: nowMs + PATIENCE_MS - START_MS,
      arrivedMs: nowMs,
      holdMs: uniformInt(random, 1000, 5000),
    });
  }
  return requests;
}

function createQueue(policy: QueuePolicy): SimulatedQueue {
  if (policy === 'relay') return DecodeQueue.create<SimulatedRequest>();
  if (policy === 'fair by team only') return createFairQueue();
  const waiting: SimulatedRequest[] = [];
  const rank = (request: SimulatedRequest) =>
    policy === 'first come' ? request.arrivedMs : request.startByMs + request.kvTokens / 1000;
  return {
    add: (request) => waiting.push(request),
    next: (nowMs) => {
      waiting.splice(0, waiting.length, ...waiting.filter(({ giveUpMs }) => giveUpMs >= nowMs));
      return [...waiting].sort((left, right) => rank(left) - rank(right))[0];
    },
    dequeue: (request) => waiting.splice(waiting.indexOf(request), 1),
  };
}

function createFairQueue(): SimulatedQueue {
  type Item = SimulatedRequest & { weight: number; cost: number };
  const queue = FairQueue.create<Item>(10_000);
  return {
    add: (request) => queue.push(Object.assign(request, { weight: 1, cost: request.kvTokens })),
    next: (nowMs) => {
      for (let item = queue.peek(); item; item = queue.peek()) {
        if (item.giveUpMs >= nowMs) return item;
        queue.remove(item);
      }
      return undefined;
    },
    dequeue: (request) => queue.take(request as Item),
  };
}

/**
 * Simulates a burst on decode slots without network.
 *
 * @param policy - queueing policy
 * @param seed - seed of the load
 * @returns fraction of all requests, and of the worst team's requests, that start on time
 */
export function simulateDecodeQueue(policy: QueuePolicy, seed: number): QueueResult {
  const queue = createQueue(policy);
  const requests = createRequests(seed);
  const busyUntil: number[] = [];
  const onTime = new Map<string, number>();
  let arrivals = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    while (arrivals < requests.length && requests[arrivals]!.arrivedMs <= nowMs) {
      queue.add(requests[arrivals]!, nowMs);
      arrivals += 1;
    }
    const running = busyUntil.filter((untilMs) => untilMs > nowMs);
    busyUntil.splice(0, busyUntil.length, ...running);
    for (let next = queue.next(nowMs); next && busyUntil.length < SLOTS; next = queue.next(nowMs)) {
      queue.dequeue(next, nowMs);
      busyUntil.push(nowMs + next.holdMs);
      const punctual = nowMs <= next.startByMs ? 1 : 0;
      onTime.set(next.team, (onTime.get(next.team) ?? 0) + punctual);
    }
  }
  const fractions = TEAMS.map((team) => {
    const sent = requests.filter((request) => request.team === team).length;
    return (onTime.get(team) ?? 0) / sent;
  });
  const total = [...onTime.values()].reduce((sum, count) => sum + count, 0);
  return { onTime: total / requests.length, worstTeam: Math.min(...fractions) };
}
