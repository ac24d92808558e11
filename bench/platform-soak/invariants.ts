import { COMPLETE_PLAN_BODY, type RequestRecord } from './callers.js';
import type { SoakPlatform } from './soak-platform.js';

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Time after the last fault within which requests are served again, in milliseconds. */
export const RECOVERY_MS = 12_000;

/** Part of the requests after the recovery that must be served. */
const MIN_SERVED_SHARE = 0.95;

/**
 * Time after its announcement in which a leaving server may get work, in milliseconds: the platform's
 * bound, and the longest outage of the store that a fault makes.
 */
const MAX_WORK_AFTER_DRAINING_MS = 2000 + 4000;

/**
 * Compares what callers and servers saw with what the system promises.
 *
 * @param platform - the servers, those that have left included
 * @param records - what the callers saw
 * @param healedMs - when the last fault had ended
 * @returns broken promises; empty when all were kept
 */
export function findViolations(
  platform: SoakPlatform,
  records: readonly RequestRecord[],
  healedMs: number,
): string[] {
  const servers = [...platform.servers, ...platform.departedServers];
  const runs = servers.flatMap(({ server, drainingSinceMs }) =>
    server.requests
      .filter(({ stage }) => stage !== 'prefill')
      .map((seen) => ({ ...seen, server: server.id, drainingSinceMs })),
  );
  const byId = new Map<string, typeof runs>();
  runs.forEach((run) => byId.set(run.id, [...(byId.get(run.id) ?? []), run]));
  const violations: string[] = [];
  byId.forEach((list, id) => {
    if (list.length > 1) violations.push(`${id} ran ${list.length} times`);
  });
  runs
    .filter(({ key }) => key !== undefined)
    .forEach(({ id, server }) => violations.push(`${id}: ${server} got the caller's key`));
  runs
    .filter(
      ({ atMs, drainingSinceMs }) =>
        drainingSinceMs !== undefined && atMs > drainingSinceMs + MAX_WORK_AFTER_DRAINING_MS,
    )
    .forEach(({ id, server }) => violations.push(`${id} reached ${server} after it had left`));
  records.forEach((record) => violations.push(...checkRecord(record, byId.has(record.id))));
  violations.push(...platform.vms.flatMap(({ unexpectedExits }) => unexpectedExits));
  return [...violations, ...checkRecovery(records, healedMs)];
}

function checkRecord(record: RequestRecord, ran: boolean): string[] {
  const { id, kind, status, body, seal, complete } = record;
  const faults: string[] = [];
  if (NOT_RUN_STATUSES.has(status) && ran) faults.push(`${id} got ${status} and ran`);
  if (kind === 'stranger' && ran) faults.push(`${id} ran with an unknown key`);
  if (kind === 'stranger' && status === 200) faults.push(`${id} was served with an unknown key`);
  if (kind !== 'stranger' && (status === 401 || status === 404)) {
    faults.push(`${id} got ${status} though key and route are there`);
  }
  if (status !== 200) return faults;
  if (!seal?.endsWith(`.${id}`)) faults.push(`${id} got the answer of another request: ${seal}`);
  const expected = kind === 'plan' ? COMPLETE_PLAN_BODY : 'done';
  if (complete && body !== expected)
    faults.push(`${id} got a whole answer that is not the server's`);
  return faults;
}

function checkRecovery(records: readonly RequestRecord[], healedMs: number): string[] {
  const after = records.filter(
    ({ kind, atMs }) => kind !== 'stranger' && atMs > healedMs + RECOVERY_MS,
  );
  const served = after.filter(({ status, complete }) => status === 200 && complete).length;
  if (after.length > 0 && served >= MIN_SERVED_SHARE * after.length) return [];
  return [`${served} of ${after.length} requests were served after the recovery`];
}
