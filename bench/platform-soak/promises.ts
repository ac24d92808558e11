import { WHOLE_PLAN, type CallerRecord } from './callers.js';
import type { SoakPlatform } from './soak-platform.js';

/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Time after the last fault within which requests are served again, in milliseconds. */
export const RECOVER_MS = 12_000;

/** Part of the requests after the recovery that must be served. */
const SERVED_PART = 0.95;

/**
 * Time after its announcement in which a leaving server may get work, in milliseconds: the platform's
 * bound, and the longest outage of the store that a fault makes.
 */
const LEAVE_MS = 2000 + 4000;

/**
 * Compares what callers and servers saw with what the system promises.
 *
 * @param platform - the servers, those that have left included
 * @param records - what the callers saw
 * @param healedMs - when the last fault had ended
 * @returns broken promises; empty when all were kept
 */
export function findBroken(
  platform: SoakPlatform,
  records: readonly CallerRecord[],
  healedMs: number,
): string[] {
  const servers = [...platform.servers, ...platform.left];
  const runs = servers.flatMap(({ server, leavingMs }) =>
    server.seen
      .filter(({ stage }) => stage !== 'prefill')
      .map((seen) => ({ ...seen, server: server.id, leavingMs })),
  );
  const byId = new Map<string, typeof runs>();
  runs.forEach((run) => byId.set(run.id, [...(byId.get(run.id) ?? []), run]));
  const broken: string[] = [];
  byId.forEach((list, id) => {
    if (list.length > 1) broken.push(`${id} ran ${list.length} times`);
  });
  runs
    .filter(({ key }) => key !== undefined)
    .forEach(({ id, server }) => broken.push(`${id}: ${server} got the caller's key`));
  runs
    .filter(({ atMs, leavingMs }) => leavingMs !== undefined && atMs > leavingMs + LEAVE_MS)
    .forEach(({ id, server }) => broken.push(`${id} reached ${server} after it had left`));
  records.forEach((record) => broken.push(...findFaults(record, byId.has(record.id))));
  broken.push(...platform.vms.flatMap(({ surprises }) => surprises));
  return [...broken, ...findUnrecovered(records, healedMs)];
}

function findFaults(record: CallerRecord, ran: boolean): string[] {
  const { id, kind, status, body, seal, whole } = record;
  const faults: string[] = [];
  if (NOT_RUN.has(status) && ran) faults.push(`${id} got ${status} and ran`);
  if (kind === 'stranger' && ran) faults.push(`${id} ran with an unknown key`);
  if (kind === 'stranger' && status === 200) faults.push(`${id} was served with an unknown key`);
  if (kind !== 'stranger' && (status === 401 || status === 404)) {
    faults.push(`${id} got ${status} though key and route are there`);
  }
  if (status !== 200) return faults;
  if (!seal?.endsWith(`.${id}`)) faults.push(`${id} got the answer of another request: ${seal}`);
  const expected = kind === 'plan' ? WHOLE_PLAN : 'done';
  if (whole && body !== expected) faults.push(`${id} got a whole answer that is not the server's`);
  return faults;
}

function findUnrecovered(records: readonly CallerRecord[], healedMs: number): string[] {
  const after = records.filter(
    ({ kind, atMs }) => kind !== 'stranger' && atMs > healedMs + RECOVER_MS,
  );
  const served = after.filter(({ status, whole }) => status === 200 && whole).length;
  if (after.length > 0 && served >= SERVED_PART * after.length) return [];
  return [`${served} of ${after.length} requests were served after the recovery`];
}
