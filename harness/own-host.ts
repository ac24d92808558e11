/**
 * Returns a loopback address of this process alone, on which connections of other processes cannot take
 * ports that were found free.
 *
 * @returns an IP number
 */
export function ownHost(): string {
  const { pid } = process;
  return `127.${64 + (Math.floor(pid / 16_384) % 64)}.${Math.floor(pid / 128) % 128}.${1 + (pid % 128)}`;
}
