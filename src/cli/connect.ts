import { readFile } from 'node:fs/promises';

import type { Address } from '../domain/vm.js';
import { fail, type Outcome, succeed } from '../kernel/outcome.js';

/** Environment variable that holds the operator token. */
export const TOKEN_ENV_VAR = 'CUMINSPAR_OPERATOR_TOKEN';

/**
 * Finds the operator token.
 *
 * @param file - path of a file that holds it; undefined takes the environment variable
 * @returns the token, empty when there is none, or why the file cannot be read
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
 * Reads an address of the form `host:port`, with an IPv6 host in brackets.
 *
 * @param text - the address
 * @returns the address, or undefined when the text has another form
 */
export function parseAddress(text: string): Address | undefined {
  const [, bracketed, plain, port] = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text) ?? [];
  const host = bracketed ?? plain;
  if (!host || !port || Number(port) < 1 || Number(port) > 65_535) return undefined;
  return { host, port: Number(port) };
}
