import type { RecordedRequest } from '../../stand-ins/platform/platform-server.js';
import { digestBody } from './answers.js';
import { COMPLETE_PLAN_BODY, type RequestRecord } from './callers.js';
import type { SoakPlatform } from './soak-platform.js';

/** Statuses which guarantee that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Bound on the time from the end of the last fault until requests are served again, in milliseconds. */
export const RECOVERY_MS = 12_000;

/** Minimum share of the requests sent after the recovery that must be served. */
const MIN_SERVED_SHARE = 0.95;

/**
 * Maximum time after a server is announced as draining in which it may still receive work, in
 * milliseconds: the platform's bound plus the longest store outage that a fault causes.
 */
const MAX_WORK_AFTER_DRAINING_MS = 2000 + 4000;

/**
 * Checks what callers and servers recorded against the guarantees of the system.
 *
 * @param platform - platform whose current and departed servers are checked
 * @param records - requests as the callers saw them
 * @param faultsEndedMs - wall-clock time at which the last fault had ended
 * @returns one line for each violation
 */
export function findViolations(
  platform: SoakPlatform,
  records: readonly RequestRecord[],
  faultsEndedMs: number,
): string[] {
  const servers = [...platform.servers, ...platform.departedServers];
  const runs = servers.flatMap(({ server, drainingSinceMs }) =>
    server.requests
      .filter(({ stage }) => stage !== 'prefill')
      .map((seen) => ({ ...seen, server: server.id, drainingSinceMs })),
  );
  const runsById = new Map<string, typeof runs>();
  runs.forEach((run) => runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]));
  const violations: string[] = [];
  runsById.forEach((list, id) => {
    if (list.length > 1) violations.push(`${id} ran ${list.length} times`);
  });
  runs
    .filter(({ key }) => key !== undefined)
    .forEach(({ id, server }) => violations.push(`${id}: ${server} received the caller's key`));
  runs
    .filter(
      ({ atMs, drainingSinceMs }) =>
        drainingSinceMs !== undefined && atMs > drainingSinceMs + MAX_WORK_AFTER_DRAINING_MS,
    )
    .forEach(({ id, server }) =>
      violations.push(`${id} reached ${server}, which had been draining too long to receive work`),
    );
  records.forEach((record) => violations.push(...checkRecord(record, runsById.has(record.id))));
  violations.push(...platform.operator.findViolations(platform.disturbances));
  violations.push(...platform.vms.flatMap(({ unexpectedExits }) => unexpectedExits));
  records
    .filter(({ complete, status }) => complete && status === 200)
    .forEach((record) => {
      const [run] = runsById.get(record.id) ?? [];
      if (run && record.digest === expectDigest(record, run.unframed)) return;
      violations.push(describeDifference(record, run));
    });
  const sound = records.filter(({ id }) => runsById.get(id)?.[0]?.unframed?.isComplete ?? true);
  violations.push(...checkRecovery(sound, faultsEndedMs));
  return violations;
}

function expectDigest({ kind }: RequestRecord, unframed: RecordedRequest['unframed']): string {
  if (unframed) return unframed.digest;
  return digestBody(Buffer.from(kind === 'plan' ? COMPLETE_PLAN_BODY : 'done'));
}

function describeDifference(
  { id, host, slow, bytes, atMs, endedMs }: RequestRecord,
  run: (RecordedRequest & { server: string }) | undefined,
): string {
  const { end, delayMs, sentBytes } = run?.unframed ?? {};
  const sent = end
    ? `${sentBytes} bytes without length, ${end} ${delayMs} ms after the last byte`
    : 'with a length or chunks';
  const reader = slow ? 'slow' : 'fast';
  return `${id} got a complete answer that differs from the server's: ${bytes} bytes in ${endedMs - atMs} ms from ${host}, ${reader} caller, ${run?.server ?? 'no server'}: ${sent}`;
}

function checkRecord(record: RequestRecord, ran: boolean): string[] {
  const { id, kind, status, seal } = record;
  const violations: string[] = [];
  if (NOT_RUN_STATUSES.has(status) && ran)
    violations.push(`${id} was refused with ${status} and ran`);
  if (kind === 'stranger' && ran) violations.push(`${id} ran with an unknown key`);
  if (kind === 'stranger' && status === 200)
    violations.push(`${id} was served with an unknown key`);
  if (kind !== 'stranger' && (status === 401 || status === 404)) {
    violations.push(`${id} got ${status} although its key and route are configured`);
  }
  if (status !== 200) return violations;
  if (!seal?.endsWith(`.${id}`))
    violations.push(`${id} got the answer of another request, with the seal ${seal}`);
  return violations;
}

function checkRecovery(records: readonly RequestRecord[], faultsEndedMs: number): string[] {
  const recordsAfterRecovery = records.filter(
    ({ kind, atMs }) => kind !== 'stranger' && atMs > faultsEndedMs + RECOVERY_MS,
  );
  const served = recordsAfterRecovery.filter(
    ({ status, complete }) => status === 200 && complete,
  ).length;
  if (recordsAfterRecovery.length > 0 && served >= MIN_SERVED_SHARE * recordsAfterRecovery.length)
    return [];
  return [
    `${served} of ${recordsAfterRecovery.length} requests sent after the recovery were served`,
  ];
}
