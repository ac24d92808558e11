import { readFile } from 'node:fs/promises';

import type { Address } from '../domain/vm.js';
import { fail, type Outcome, succeed } from '../kernel/outcome.js';

/** Environment variable that holds the operator token. */
export const TOKEN_ENV_VAR = 'CUMINSPAR_OPERATOR_TOKEN';

/**
 * Reads the operator token.
 *
 * @param file - path of the token file; undefined selects the environment variable
 * @returns the token, empty when the variable is not set, or the error when the file cannot be read
 */
export async function readToken(file: string | undefined): Promise<Outcome<string, Error>> {
  if (file === undefined) return succeed(process.env[TOKEN_ENV_VAR] ?? '');
  try {
    return succeed((await readFile(file, 'utf8')).trim());
  } catch (error) {
    return fail(error as Error);
  }
}

/**
 * Parses an address of the form `host:port`, with an IPv6 host in brackets.
 *
 * @param text - text of the address
 * @returns the address, or undefined when the text is not an address
 */
export function parseAddress(text: string): Address | undefined {
  const [, bracketed, plain, port] = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text) ?? [];
  const host = bracketed ?? plain;
  if (!host || !port || Number(port) < 1 || Number(port) > 65_535) return undefined;
  return { host, port: Number(port) };
}
