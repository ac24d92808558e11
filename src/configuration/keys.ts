import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

const KEY_PATTERN = /^ck_([a-z0-9]{4,32})_([A-Za-z0-9_-]{1,128})$/;
const KEY_ID_BYTES = 6;
const SECRET_BYTES = 24;

/** Parts of a key that a caller sent. */
export interface ParsedKey {
  readonly keyId: string;
  readonly secret: string;
}

/** Newly generated key; its text is shown once and never stored. */
export interface NewKey {
  readonly keyId: string;
  readonly text: string;
  /** SHA-256 of the secret, hexadecimal. */
  readonly secretHash: string;
}

/**
 * Generates a key of the form `ck_<keyId>_<secret>`.
 *
 * @returns the key and the hash of its secret, which is stored
 */
export function generateKey(): NewKey {
  const keyId = randomBytes(KEY_ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('hex');
  return { keyId, text: `ck_${keyId}_${secret}`, secretHash: hashSecret(secret) };
}

/**
 * Parses a key.
 *
 * @param text - the key as sent
 * @returns id and secret, or undefined when the key is malformed
 */
export function parseKey(text: string): ParsedKey | undefined {
  const [, keyId, secret] = KEY_PATTERN.exec(text) ?? [];
  return keyId && secret ? { keyId, secret } : undefined;
}

/**
 * Hashes a secret for storage.
 *
 * @param secret - the secret in plain text
 * @returns SHA-256, hexadecimal
 */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Compares a secret with a stored hash in constant time.
 *
 * @param secret - the secret in plain text
 * @param secretHash - SHA-256 as 64 hexadecimal digits
 * @returns true when they match
 */
export function matchesHash(secret: string, secretHash: string): boolean {
  const expected = Buffer.from(secretHash, 'hex');
  const actual = Buffer.from(hashSecret(secret), 'hex');
  return expected.length === actual.length && timingSafeEqual(actual, expected);
}

/**
 * Extracts the credential from an Authorization header of the Bearer scheme.
 *
 * @param authorization - value of the header
 * @returns the credential, or undefined when the header is missing or malformed
 */
export function parseBearerToken(authorization: string | undefined): string | undefined {
  return /^Bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
}
