import { addWork, countUnits, decayWork, type WorkSums } from './work-sums.js';

/** What a server does for a request. */
export type ServerTask = 'plain' | 'prefill' | 'decode';

/** Tasks in the order of their codes in reports. */
const TASKS: readonly ServerTask[] = ['plain', 'prefill', 'decode'];

/** Server id, start in milliseconds since the Unix epoch, code of the task, and the sums of its work. */
export type CapacityReport = [
  id: string,
  startedAtMs: number,
  task: number,
  lightUnits: number,
  lightMs: number,
  fullUnits: number,
  fullMs: number,
  refused: number,
];

/** Maximum number of servers in the reports of one VM. */
const MAX_OWN_REPORTS = 24;

/** Maximum number of servers in the merged reports of several VMs. */
const MAX_MERGED_REPORTS = 160;

/** Weight below which work is no longer reported, in units. */
const MIN_UNITS = 0.1;

const WORK_KEY = /^(.*) (\S+) (\S+)$/s;

/**
 * Identifies one task of one start of a server.
 *
 * @param id - id of the server
 * @param startedAtMs - its start, in milliseconds since the Unix epoch
 * @param task - the task
 * @returns a key
 */
export function createWorkKey(id: string, startedAtMs: number, task: ServerTask): string {
  return `${id} ${startedAtMs} ${TASKS.indexOf(task)}`;
}

/**
 * Describes the work that a VM has observed.
 *
 * @param works - sums by key
 * @returns reports on the servers with the most work
 */
export function createReports(works: ReadonlyMap<string, WorkSums>): CapacityReport[] {
  return selectReports([...works], MAX_OWN_REPORTS);
}

/**
 * Reads reports.
 *
 * @param reports - reports of one source
 * @returns sums by key
 */
export function readReports(reports: readonly CapacityReport[]): Map<string, WorkSums> {
  return new Map(
    reports.map(([id, startedAtMs, task, ...sums]) => [`${id} ${startedAtMs} ${task}`, sums]),
  );
}

/**
 * Adds the reports of several VMs.
 *
 * @param reports - reports by VM
 * @returns at most MAX_MERGED_REPORTS reports
 */
export function mergeCapacityReports(
  reports: readonly (readonly CapacityReport[])[],
): CapacityReport[] {
  const sums = new Map<string, WorkSums>();
  reports.forEach((each) =>
    readReports(each).forEach((work, key) => {
      const known = sums.get(key);
      sums.set(key, known ? addWork(known, work) : work);
    }),
  );
  return selectReports([...sums], MAX_MERGED_REPORTS);
}

/**
 * Reduces the weight of a report by the time for which it has been held.
 *
 * @param report - the report
 * @param ms - time for which it has been held, in milliseconds
 * @returns the report with its present weight
 */
export function ageCapacityReport(report: CapacityReport, ms: number): CapacityReport {
  const [id, startedAtMs, task, ...sums] = report;
  return [id, startedAtMs, task, ...decayWork(sums, ms)];
}

function selectReports(works: readonly (readonly [string, WorkSums])[], most: number) {
  const known = works.filter(([, sums]) => countUnits(sums) + sums[4] >= MIN_UNITS);
  if (known.length > most)
    known.sort(([, left], [, right]) => countUnits(right) - countUnits(left));
  return known.slice(0, most).map(([key, sums]): CapacityReport => {
    // An id may contain spaces: the store accepts any key.
    const [, id = '', startedAtMs, task] = WORK_KEY.exec(key) ?? [];
    const [lightUnits, lightMs, fullUnits, fullMs, refused] = sums;
    return [
      ...([id, Number(startedAtMs), Number(task)] as const),
      ...([round(lightUnits), Math.round(lightMs)] as const),
      ...([round(fullUnits), Math.round(fullMs)] as const),
      round(refused),
    ];
  });
}

function round(units: number): number {
  return Math.round(100 * units) / 100;
}
