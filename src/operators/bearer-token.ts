import { Code, ConnectError, type Interceptor } from '@connectrpc/connect';

import { matchesHash, parseBearerToken } from '../configuration/keys.js';

/**
 * Creates a check that refuses calls without the operator token.
 *
 * @param tokenSha256 - SHA-256 of the token, hexadecimal
 * @returns an interceptor for the server that throws `unauthenticated`
 */
export function createTokenCheck(tokenSha256: string): Interceptor {
  return (next) => async (request) => {
    const token = parseBearerToken(request.header.get('authorization') ?? undefined);
    if (token === undefined || !matchesHash(token, tokenSha256)) {
      throw new ConnectError('the operator token is missing or wrong', Code.Unauthenticated);
    }
    return next(request);
  };
}
