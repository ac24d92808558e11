import { Refusal } from '../domain/refusal.js';
import { fail, type Outcome, succeed } from '../kernel/outcome.js';
import type { ConfigurationState, Identity } from './configuration.js';
import { matchesHash, parseKey, parseBearerToken } from './keys.js';

/** Compared with when the key id is unknown, so that the time taken does not tell. */
const UNMATCHABLE_HASH = '0'.repeat(64);

/**
 * Checks the key of a request.
 *
 * @param state - configuration in force, or undefined before the first complete read
 * @param withdrawn - all withdrawn keys, in the log or not
 * @param authorization - value of the Authorization header
 * @returns the team and key id, or a refusal
 */
export function authenticateKey(
  state: ConfigurationState | undefined,
  withdrawn: ReadonlySet<string>,
  authorization: string | undefined,
): Outcome<Identity, Refusal> {
  if (!state) return fail(Refusal.create('not_ready', 'the configuration has not been read yet'));
  const text = parseBearerToken(authorization);
  if (text === undefined) {
    return fail(Refusal.create('key_missing', 'send the key as "Authorization: Bearer KEY"'));
  }
  const parsed = parseKey(text);
  if (!parsed)
    return fail(Refusal.create('key_unknown', 'the key does not have the form of a key'));
  if (withdrawn.has(parsed.keyId)) {
    return fail(Refusal.create('key_withdrawn', `key ${parsed.keyId} was withdrawn`));
  }
  const key = state.keys.get(parsed.keyId);
  if (!matchesHash(parsed.secret, key?.secretHash ?? UNMATCHABLE_HASH) || !key) {
    return fail(Refusal.create('key_unknown', 'the key is not known'));
  }
  return succeed({ team: key.team, keyId: key.keyId });
}
