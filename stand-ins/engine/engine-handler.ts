import { z } from 'zod';

import {
  readJson,
  replyError,
  replyJson,
  type Call,
  type Handler,
  type Reply,
} from '../shared/call.js';
import type { FaultList } from '../shared/faults.js';
import { decode } from './decode.js';
import type { EngineState } from './engine-state.js';
import { exportKv } from './export-kv.js';
import type { Orders } from './orders.js';
import { prefill } from './prefill.js';
import { orderSchema } from './request-schema.js';
import { reserve } from './reserve.js';
import { transfer } from './transfer.js';

const CANCEL_PATH = /^\/v1\/attempts\/([^/]+)\/cancel$/;

/**
 * Builds the handler of an engine's protocol listener. Every answer carries `x-engine-load`.
 *
 * @param getState - returns the current state, which a restart replaces
 * @param orders - accepted orders and the fencing check
 * @param faults - faults of the engine
 * @returns the handler
 */
export function createEngineHandler(
  getState: () => EngineState,
  orders: Orders,
  faults: FaultList,
): Handler {
  return async (call) => {
    const state = getState();
    const reply = await route(state, orders, faults, call);
    // The listener closes the connection when the handler throws, as a real restart would do.
    if (getState() !== state) throw new Error('the engine was restarted');
    const load = state.load.format();
    return { ...reply, headers: { ...reply.headers, 'x-engine-load': load } };
  };
}

function route(
  state: EngineState,
  orders: Orders,
  faults: FaultList,
  call: Call,
): Reply | Promise<Reply> {
  const cancelledId = CANCEL_PATH.exec(call.path)?.[1];
  if (cancelledId && call.method === 'POST') return cancel(state, decodeURIComponent(cancelledId));
  const routes: Record<string, () => Reply | Promise<Reply>> = {
    'POST /v1/reservations': () => reserve(state, call),
    'POST /v1/prefill': () => prefill(state, call, faults),
    'POST /v1/transfers': () => transfer(state, call),
    'POST /v1/decode': () => decode(state, call, faults),
    'POST /v1/orders': () => acceptOrder(state, orders, call),
    'GET /v1/export': () => exportKv(state, call),
    'GET /v1/load': () => replyJson(200, state.load.read()),
    'GET /v1/holds': () => listHolds(state, call),
    'GET /v1/cache-events': () =>
      replyJson(200, state.cache.listEvents(Number(call.query.get('after') ?? 0))),
  };
  const routeKey = `${call.method} ${call.path}`;
  return routes[routeKey]?.() ?? replyError(404, `no ${routeKey}`);
}

function cancel(state: EngineState, attemptId: string): Reply {
  state.cancellations.cancel(attemptId);
  return replyJson(200, { released: state.endAttempt(attemptId, 'cancelled') });
}

function listHolds({ incarnation, memory, openCalls }: EngineState, { query }: Call): Reply {
  const holds = memory.list();
  if (!query.has('idleMs')) return replyJson(200, { incarnation, holds });
  const idleMs = Number(query.get('idleMs'));
  const goneOwners = new Set(query.getAll('gone'));
  const matching = holds.filter(
    ({ attemptId, owner }) =>
      goneOwners.has(`${owner.vm}/${owner.incarnation}`) || openCalls.idleMs(attemptId) >= idleMs,
  );
  return replyJson(200, { incarnation, holds: matching });
}

function acceptOrder(state: EngineState, orders: Orders, call: Call): Reply {
  const order = orderSchema.safeParse(readJson(call));
  if (!order.success) return replyError(400, z.prettifyError(order.error));
  const { kind, value } = order.data;
  const role = z.enum(['prefill', 'decode', 'both']).safeParse(value);
  if (kind === 'change-role' && !role.success) return replyError(400, `no role ${value}`);
  const newest = orders.accept(order.data);
  if (newest !== undefined) return replyJson(409, { newest });
  if (kind === 'change-role' && role.success) Object.assign(state, { role: role.data });
  return replyJson(200, {});
}
