import { readFile } from 'node:fs/promises';

/** Linux reports processor time in ticks of this length, in milliseconds. */
const TICK_MS = 10;

const PAGE_BYTES = 4096;

/** Fields of /proc/PID/stat after the process name; see proc(5). */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

/** What a process has used. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in bytes. */
  readonly residentBytes: number;
}

/**
 * Reads what a process that this program started has used.
 *
 * @param pid - process id
 * @returns processor time and memory
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
