import { Service } from '../../../src/kernel/service.js';

/** Configuration service with only an offset and withdrawn keys. */
export class FakeConfiguration extends Service {
  readonly keys = new Set<string>();

  readonly observedOffsets = new Map<string, number>();

  version = 0;

  current() {
    return { version: this.version };
  }

  observePeerOffset(offset: number, vm: string): void {
    this.observedOffsets.set(vm, offset);
  }

  withdrawn(): ReadonlySet<string> {
    return this.keys;
  }

  withdrawnDigest(): string {
    return [...this.keys].sort().join();
  }

  /** Adopts the keys of a digest; the digest of this fake is the list of keys. */
  observePeerDigest(digest: string): void {
    this.withdraw(digest.split(',').filter(Boolean));
  }

  withdraw(keyIds: readonly string[]): readonly string[] {
    const fresh = keyIds.filter((keyId) => !this.keys.has(keyId));
    fresh.forEach((keyId) => this.keys.add(keyId));
    return fresh;
  }
}
