/** Kills the process with SIGKILL, so that no connection or file is closed in order. */
export function crash(): never {
  process.kill(process.pid, 'SIGKILL');
  throw new Error('the process is ending');
}
