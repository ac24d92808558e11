import { Refusal } from '../domain/refusal.js';
import { fail, type Outcome, succeed } from '../kernel/outcome.js';
import type { ConfigurationState, Identity } from './configuration.js';
import { matchesHash, parseKey, parseBearerToken } from './keys.js';

/**
 * Hash that no secret matches. It is compared when the key id is unknown, so that the response time
 * does not reveal whether a key id exists.
 */
const UNMATCHABLE_HASH = '0'.repeat(64);

/**
 * Checks the key of a request.
 *
 * @param state - configuration in force, or undefined before the first complete read of the log
 * @param withdrawn - ids of all withdrawn keys, whether logged yet or not
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
  if (!parsed) return fail(Refusal.create('key_unknown', 'the key is malformed'));
  if (withdrawn.has(parsed.keyId)) {
    return fail(Refusal.create('key_withdrawn', `key ${parsed.keyId} was withdrawn`));
  }
  const key = state.keys.get(parsed.keyId);
  if (!matchesHash(parsed.secret, key?.secretHash ?? UNMATCHABLE_HASH) || !key) {
    return fail(Refusal.create('key_unknown', 'the key is not known'));
  }
  return succeed({ team: key.team, keyId: key.keyId });
}
