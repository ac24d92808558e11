import { Service } from '../../../src/kernel/service.js';

/** A configuration that has withdrawn keys and an offset, and nothing else. */
export class FakeConfiguration extends Service {
  readonly keys = new Set<string>();

  readonly noticed = new Map<string, number>();

  version = 0;

  current() {
    return { version: this.version };
  }

  observePeerOffset(offset: number, vm: string): void {
    this.noticed.set(vm, offset);
  }

  withdrawn(): ReadonlySet<string> {
    return this.keys;
  }

  withdrawnDigest(): string {
    return [...this.keys].sort().join();
  }

  /** Takes over the keys of a differing digest, which lists them here. */
  observePeerDigest(digest: string): void {
    this.withdraw(digest.split(',').filter(Boolean));
  }

  withdraw(keyIds: readonly string[]): readonly string[] {
    const fresh = keyIds.filter((keyId) => !this.keys.has(keyId));
    fresh.forEach((keyId) => this.keys.add(keyId));
    return fresh;
  }
}
