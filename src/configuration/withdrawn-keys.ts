import { createHash } from 'node:crypto';

import type { Stream } from 'most';

import { EventBroadcaster } from './event-broadcaster.js';

const DIGEST_BYTES = 32;
const KEY_ID_PATTERN = /^[a-z0-9]{4,32}$/;

/** Grow-only set of the withdrawn keys that a VM knows, whether logged yet or not. */
export class WithdrawnKeys {
  private readonly keyIds = new Set<string>();

  /** Operator by key id, for the keys that have not been read from the log yet. */
  private readonly unloggedIds = new Map<string, string>();

  private readonly events = EventBroadcaster.create<string>();

  private readonly xorHash = Buffer.alloc(DIGEST_BYTES);

  /**
   * Creates an empty set.
   *
   * @returns a new set
   */
  static create(): WithdrawnKeys {
    return new WithdrawnKeys();
  }

  /**
   * Adds keys that may not be in the log yet.
   *
   * @param keyIds - key ids; malformed ones are ignored
   * @param operator - name of the operator who withdrew them
   * @returns the ids that were new
   */
  add(keyIds: readonly string[], operator: string): readonly string[] {
    const fresh = [...new Set(keyIds)].filter(
      (id) => KEY_ID_PATTERN.test(id) && !this.keyIds.has(id),
    );
    fresh.forEach((id) => {
      this.unloggedIds.set(id, operator);
      this.insert(id);
    });
    return fresh;
  }

  /**
   * Adds keys whose withdrawal was read from the log.
   *
   * @param keyIds - key ids
   */
  addLogged(keyIds: ReadonlySet<string>): void {
    keyIds.forEach((id) => {
      this.unloggedIds.delete(id);
      if (!this.keyIds.has(id)) this.insert(id);
    });
  }

  /** Operator by key id, for the keys whose withdrawal has not been read from the log yet. */
  get unlogged(): ReadonlyMap<string, string> {
    return this.unloggedIds;
  }

  /** All withdrawn keys. */
  get all(): ReadonlySet<string> {
    return this.keyIds;
  }

  /**
   * Returns a digest of the set: the XOR of the SHA-256 hashes of its ids, which needs no sorting
   * and is updated incrementally.
   *
   * @returns hexadecimal digest
   */
  digest(): string {
    return this.xorHash.toString('hex');
  }

  /**
   * Subscribes to additions.
   *
   * @returns a stream of the ids that become known
   */
  additions(): Stream<string> {
    return this.events.stream();
  }

  /** Ends the streams. */
  close(): void {
    this.events.end();
  }

  private insert(id: string): void {
    this.keyIds.add(id);
    createHash('sha256')
      .update(id)
      .digest()
      .forEach((byte, index) => {
        // eslint-disable-next-line no-bitwise
        this.xorHash[index] = (this.xorHash[index] ?? 0) ^ byte;
      });
    this.events.publish(id);
  }
}
