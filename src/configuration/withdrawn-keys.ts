import { createHash } from 'node:crypto';

import type { Stream } from 'most';

import { EventBroadcaster } from './event-broadcaster.js';

const DIGEST_BYTES = 32;
const KEY_ID_PATTERN = /^[a-z0-9]{4,32}$/;

/** The withdrawn keys that a VM knows, in the log or not; keys are added and never removed. */
export class WithdrawnKeys {
  private readonly keyIds = new Set<string>();

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
   * Adds keys that may not be in the log.
   *
   * @param keyIds - key ids; texts of another form are ignored
   * @param operator - who withdrew them
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
   * Adds keys that were found in the log.
   *
   * @param keyIds - key ids
   */
  addLogged(keyIds: ReadonlySet<string>): void {
    keyIds.forEach((id) => {
      this.unloggedIds.delete(id);
      if (!this.keyIds.has(id)) this.insert(id);
    });
  }

  /** Operator by key id, for the keys that were not yet found in the log. */
  get unlogged(): ReadonlyMap<string, string> {
    return this.unloggedIds;
  }

  /** All withdrawn keys. */
  get all(): ReadonlySet<string> {
    return this.keyIds;
  }

  /**
   * Condenses the set: the exclusive or of the hashes of its ids, which needs no sorting and is
   * updated with each new id.
   *
   * @returns hexadecimal digest
   */
  digest(): string {
    return this.xorHash.toString('hex');
  }

  /**
   * Follows the set.
   *
   * @returns a stream of ids that become known
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
