import assert from 'node:assert/strict';

import { daemonOf } from '../../harness/find-daemon.js';
import { callService, type CallerAnswer } from '../../harness/caller-client.js';
import type { RecordedEffect } from '../../harness/engine-record.js';
import { startFleet, type Fleet } from '../../harness/fleet.js';
import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { planChanges, planSmallFleet, type SmallFleet } from '../../harness/plans.js';
import {
  parseExecutionRecord,
  type ExecutionRecord,
} from '../../src/execution/execution-record.js';
import { hashKey } from '../../src/execution/idempotency-key.js';

/** Route of requests that must not be executed twice. */
export const ORDERS_ROUTE = '/services/yard/orders';

/** Path prefix of the log's streams of intents and outcomes. */
export const EXECUTION_STREAMS = '/v1/streams/executions-';

/**
 * Time limit for an answer of a yard server, in milliseconds; short to keep the scenarios short.
 */
export const ORDER_TIMEOUT_MS = 1500;

/** Time after an intent during which its order may be sent, in milliseconds. */
export const INTENT_VALID_MS = 1000;

const TEAM = 'oval-crew';

/** An order and its answer. */
export interface SentOrder {
  readonly daemon: number;
  readonly body: string;
  /** Undefined if the connection broke before the answer. */
  readonly answer: Promise<CallerAnswer | undefined>;
}

/** State shared by the paint order steps. */
export interface OrderWorld {
  fleet: Fleet;
  callerKey: string;
  idempotencyKey: string;
  sent: SentOrder[];
}

/** An effect together with the request headers that the service received. */
type OrderEffect = RecordedEffect & { readonly headers: Readonly<Record<string, string>> };

/**
 * Starts a fleet for paint orders.
 *
 * @param world - receives the fleet, a caller's key and a new idempotency key
 * @param size - overrides of the default fleet
 */
export async function startOrderFleet(world: OrderWorld, size: SmallFleet = {}): Promise<void> {
  const route = { path: ORDERS_ROUTE, pool: 'yard', methods: ['POST'], repeatable: false };
  const changes = planChanges().filter(
    ({ route: one }) => (one as typeof route)?.path !== ORDERS_ROUTE,
  );
  const plan = planSmallFleet({
    ...{ prefills: 0, decodes: 0, relayed: true },
    ...size,
    changes: [
      ...changes,
      { kind: 'put-route', route: { ...route, timeoutMs: ORDER_TIMEOUT_MS } },
      ...(size.changes ?? []),
    ],
    settings: { idempotency: { intentMs: INTENT_VALID_MS }, ...size.settings },
  });
  const fleet = await startFleet(plan);
  const { text } = await fleet.giveKey(TEAM);
  const idempotencyKey = createIdempotencyKey();
  Object.assign(world, { fleet, callerKey: text, idempotencyKey, sent: [] });
}

/**
 * Sends the order of a scenario.
 *
 * @param world - the scenario
 * @param daemon - number of the daemon, from 1
 * @param options - body and idempotency key, if they differ from the defaults
 * @returns the order; its answer is undefined if the connection broke
 */
export function sendOrder(
  world: OrderWorld,
  daemon: number,
  options: { readonly body?: string; readonly idempotencyKey?: string } = {},
): SentOrder {
  const { body = 'three drums of white', idempotencyKey = world.idempotencyKey } = options;
  const answer = callService(daemonOf(world.fleet, daemon).callers, {
    ...{ method: 'POST', path: ORDERS_ROUTE, key: world.callerKey, body, idempotencyKey },
  }).catch(() => undefined);
  const order = { daemon, body, answer };
  world.sent.push(order);
  return order;
}

/**
 * Reads the log's records of one idempotency key, in order.
 *
 * @param world - the scenario
 * @param idempotencyKey - the key as the caller sent it
 * @returns intents, outcomes and abandonments
 */
export async function readOrderRecords(
  world: OrderWorld,
  idempotencyKey = world.idempotencyKey,
): Promise<ExecutionRecord[]> {
  const { streams } = await world.fleet.log.readRecord<{
    streams: Record<string, { data: string }[]>;
  }>();
  const key = hashKey(TEAM, ORDERS_ROUTE, idempotencyKey);
  return Object.entries(streams)
    .filter(([name]) => name.startsWith('executions-'))
    .flatMap(([, records]) => records.map(({ data }) => parseExecutionRecord(data)))
    .filter((record) => record?.key === key) as ExecutionRecord[];
}

/**
 * Reads the effects that the yard servers recorded for one idempotency key.
 *
 * @param world - the scenario
 * @param idempotencyKey - the key as the caller sent it
 * @returns the effects at all yard servers
 */
export async function readOrderEffects(
  world: OrderWorld,
  idempotencyKey = world.idempotencyKey,
): Promise<OrderEffect[]> {
  const yards = [...world.fleet.servers].filter(([name]) => name.startsWith('yard'));
  const records = yards.map(([, yard]) => yard.readRecord<{ effects: OrderEffect[] }>());
  const effects = (await Promise.all(records)).flatMap((record) => record.effects);
  return effects.filter(({ headers }) => headers['idempotency-key'] === idempotencyKey);
}

/**
 * Checks the at-most-once invariant for all orders of a scenario, which share one idempotency key:
 * there is at most one effect, an answer that says "not run" belongs to a request without an
 * effect, and all answers with status 200 are equal.
 *
 * @param world - the scenario
 * @returns the effects
 */
export async function checkOrders(world: OrderWorld): Promise<OrderEffect[]> {
  const answers = await Promise.all(world.sent.map(({ answer }) => answer));
  const effects = await readOrderEffects(world);
  assert.ok(
    effects.length <= 1,
    `${effects.length} effects of one idempotency key, expected at most 1`,
  );
  for (const answer of answers) {
    if (answer?.run !== 'not run') continue;
    const ran = effects.some(({ requestId }) => requestId === answer.requestId);
    assert.ok(!ran, `${answer.code} says "not run", but ${answer.requestId} had an effect`);
  }
  const bodies = answers.filter((answer) => answer?.status === 200).map((answer) => answer?.text);
  assert.ok(new Set(bodies).size <= 1, `answers with status 200 differ: ${bodies.join(' ')}`);
  return effects;
}

/**
 * Formats an answer as the feature files name it.
 *
 * @param answer - the answer; undefined if the connection broke
 * @returns for example `200`, `200 replayed` or `outcome_unknown (unknown)`
 */
export function describeAnswer(answer: CallerAnswer | undefined): string {
  if (!answer) return 'connection broken';
  if (answer.code) return `${answer.code} (${answer.run})`;
  const replayed = answer.headers['x-cuminspar-replayed'] === 'true';
  return replayed ? `${answer.status} replayed` : String(answer.status);
}
