import { readdir, readFile } from 'node:fs/promises';

/**
 * Reads the largest resident memory that a process has had.
 *
 * @param pid - a process that the caller has started
 * @returns megabytes
 */
export async function readPeakMemoryMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1024;
}

/**
 * Counts the open descriptors of a process.
 *
 * @param pid - a process that the caller has started
 * @returns the number of descriptors
 */
export async function countDescriptors(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length;
}
