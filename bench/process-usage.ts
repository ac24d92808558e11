import { readFile } from 'node:fs/promises';

/** Length of the ticks in which Linux reports processor time, in milliseconds. */
const TICK_MS = 10;

const PAGE_BYTES = 4096;

/** Indexes of the fields of /proc/PID/stat, counted after the process name; see proc(5). */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

/** Resources used by a process. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in bytes. */
  readonly residentBytes: number;
}

/**
 * Reads the resources used by a process that this program started.
 *
 * @param pid - process id
 * @returns processor time and resident memory
 */
export async function readUsage(pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const field = (index: number) => Number(fields[index]);
  return {
    cpuMs: (field(USER_TICKS) + field(SYSTEM_TICKS)) * TICK_MS,
    residentBytes: field(RESIDENT_PAGES) * PAGE_BYTES,
  };
}
