import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion, callService, type ServiceCall } from '../../harness/caller-client.js';
import type { Fleet, FleetDaemon } from '../../harness/fleet.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { MODEL } from '../../harness/plans.js';
import type { SoakJournal } from './journal.js';
import { createRandom, type Random } from './schedule.js';
import { TEAMS, type TeamKey, type TeamKeys } from './team-keys.js';

/** Number of callers for each kind of request and each team. */
const CALLERS_PER_KIND = 2;
const MAX_ORDER_ATTEMPTS = 8;
const RETRY_DELAY_MS = 250;
const MAX_SHORT_OUTPUT_TOKENS = 60;

/** Long enough that a stream lasts about 4 s, so that faults occur while it runs. */
const LONG_OUTPUT_TOKENS = 700;

/** Traffic of a soak run. */
export interface Traffic {
  /** Stops sending requests and waits for those in flight. */
  readonly stop: () => Promise<void>;
}

interface Caller {
  readonly fleet: Fleet;
  readonly keys: TeamKeys;
  readonly journal: SoakJournal;
  readonly team: string;
  readonly name: string;
  readonly random: Random;
  readonly isStopped: () => boolean;
}

/**
 * Starts the callers of both teams.
 *
 * @param fleet - running fleet
 * @param keys - keys of the teams
 * @param journal - records the answers that the callers get
 * @param seed - seed of the requests
 * @returns the running traffic
 */
export function startTraffic(
  fleet: Fleet,
  keys: TeamKeys,
  journal: SoakJournal,
  seed: number,
): Traffic {
  let stopped = false;
  const run = async (caller: Caller, send: (caller: Caller, turn: number) => Promise<void>) => {
    for (let turn = 0; !stopped; turn += 1) {
      await send(caller, turn);
      await delay(caller.random.integer(10, 120));
    }
  };
  const kinds = [sendCompletion, sendCompletion, sendOrder, sendLookup, sendWithWithdrawnKey];
  const loops = TEAMS.flatMap((team, teamIndex) =>
    kinds.flatMap((send, kind) =>
      Array.from({ length: CALLERS_PER_KIND }, (_, index) => {
        const name = `${team}-${kind}-${index}`;
        const random = createRandom(seed * 1000 + teamIndex * 100 + kind * 10 + index);
        const isStopped = () => stopped;
        return run({ fleet, keys, journal, team, name, random, isStopped }, send);
      }),
    ),
  );
  return {
    stop: async () => {
      stopped = true;
      await Promise.all(loops);
    },
  };
}

function pickDaemon({ fleet, random }: Caller): FleetDaemon {
  const daemon = fleet.daemons[random.integer(0, fleet.daemons.length)];
  if (!daemon) throw new Error('the fleet has no daemon');
  return daemon;
}

function activeKey({ keys, team }: Caller): TeamKey {
  const key = keys.active.get(team);
  if (!key) throw new Error(`team ${team} has no key`);
  return key;
}

async function sendCompletion(caller: Caller, turn: number): Promise<void> {
  const { random, name, team } = caller;
  const isLong = team === 'oval-crew' && random.integer(0, 10) === 0;
  const maxTokens = isLong ? LONG_OUTPUT_TOKENS : random.integer(1, MAX_SHORT_OUTPUT_TOKENS);
  const prompt = `${name} ${turn} ${'outfield '.repeat(random.integer(1, 60))}`;
  const cancelAt = random.integer(0, 10) === 0 ? random.integer(1, maxTokens + 1) : Infinity;
  await complete(caller, activeKey(caller), { prompt, maxTokens, cancelAt });
}

async function complete(
  caller: Caller,
  key: TeamKey,
  call: { prompt: string; maxTokens: number; cancelAt: number },
): Promise<void> {
  const daemon = pickDaemon(caller);
  const abort = new AbortController();
  const startedMs = Date.now();
  let lastTokenMs = 0;
  const onToken = (count: number) => {
    lastTokenMs = Date.now();
    if (count >= call.cancelAt) abort.abort();
  };
  const { prompt, maxTokens } = call;
  let error = '';
  const answer = await callCompletion(daemon.callers, {
    ...{ model: MODEL, prompt, maxTokens, key: key.text, stream: caller.random.integer(0, 5) > 0 },
    ...{ signal: abort.signal, onToken },
  }).catch((reason: unknown) => {
    error = String(reason);
    return undefined;
  });
  caller.journal.completions.push({
    ...{ daemon: daemon.name, keyId: key.keyId, prompt, maxTokens, startedMs },
    ...{ endedMs: Date.now(), lastTokenMs, cancelled: abort.signal.aborted, answer, error },
  });
}

/** Repeats an order with its idempotency key until a 200, the last attempt or the end of the traffic. */
async function sendOrder(caller: Caller, turn: number): Promise<void> {
  const { journal, name } = caller;
  const idempotencyKey = createIdempotencyKey();
  const body = JSON.stringify({ order: `${name}-${turn}` });
  for (let tries = 0; tries < MAX_ORDER_ATTEMPTS && !caller.isStopped(); tries += 1) {
    const path = '/services/yard/orders';
    const key = activeKey(caller).text;
    const answer = await callYard(caller, { method: 'POST', path, body, key, idempotencyKey });
    if (answer?.status === 200) {
      journal.ordersAnswered += 1;
      return;
    }
    await delay(RETRY_DELAY_MS);
  }
  journal.ordersUnanswered += 1;
}

async function sendLookup(caller: Caller, turn: number): Promise<void> {
  const path = `/services/yard/jobs/${caller.name}-${turn}`;
  await callYard(caller, { method: 'GET', path, key: activeKey(caller).text });
}

/** Sends requests with a withdrawn key, as a caller does that has not noticed the withdrawal. */
async function sendWithWithdrawnKey(caller: Caller, turn: number): Promise<void> {
  const { keys, random } = caller;
  const key = keys.withdrawn[random.integer(0, keys.withdrawn.length)];
  if (!key) return;
  const path = `/services/yard/jobs/withdrawn-${key.keyId}`;
  await callYard(caller, { method: 'GET', path, key: key.text });
  if (turn % 4 === 0) {
    await complete(caller, key, { prompt: `withdrawn ${turn}`, maxTokens: 5, cancelAt: Infinity });
  }
}

async function callYard(caller: Caller, request: ServiceCall) {
  const { journal } = caller;
  const answer = await callService(pickDaemon(caller).callers, request).catch(() => undefined);
  if (answer) journal.answers.push(answer);
  else journal.failedServiceCalls += 1;
  return answer;
}
