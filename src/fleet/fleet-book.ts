import type { Digest } from './digest.js';

/** Another VM, as it was last heard. */
export interface Peer {
  readonly digest: Digest;
  readonly heardMs: number;
}

/** Time without digests after which a VM is taken for unreachable, in milliseconds. */
export const SILENT_MS = 1200;

/** Time without digests after which a VM's work is no longer counted, in milliseconds. */
export const GONE_MS = 3000;

/** Time without digests after which a VM no longer shares limits, in milliseconds. */
export const FORGOTTEN_MS = 12_000;

/** Knows the VMs of the fleet from their digests. */
export class FleetBook {
  private readonly peers = new Map<string, Peer>();

  private constructor(private readonly self: string) {}

  /**
   * Creates an empty book.
   *
   * @param self - name of this VM
   * @returns a book without peers
   */
  static create(self: string): FleetBook {
    return new FleetBook(self);
  }

  /**
   * Takes a digest.
   *
   * @param digest - what a VM says of itself
   * @param nowMs - monotonic time
   * @returns false when it is this VM's own or older than the last one
   */
  note(digest: Digest, nowMs: number): boolean {
    if (digest.vm === this.self) return false;
    const known = this.peers.get(digest.vm)?.digest;
    const same = known?.incarnation === digest.incarnation;
    if (known && same && digest.sequence <= known.sequence) return false;
    this.peers.set(digest.vm, { digest, heardMs: nowMs });
    return true;
  }

  /**
   * Lists the VMs that are heard.
   *
   * @param nowMs - monotonic time
   * @param withinMs - longest time since the last digest
   * @returns their digests
   */
  heard(nowMs: number, withinMs = SILENT_MS): Digest[] {
    return [...this.peers.values()]
      .filter(({ heardMs }) => nowMs - heardMs <= withinMs)
      .map(({ digest }) => digest);
  }

  /**
   * Counts the VMs that share limits, this one included.
   *
   * @param nowMs - monotonic time
   * @returns at least 1
   */
  size(nowMs: number): number {
    return 1 + this.heard(nowMs, FORGOTTEN_MS).length;
  }

  /**
   * Computes the part of the fleet that is silent but may still be at work.
   *
   * @param nowMs - monotonic time
   * @returns 0 to less than 1
   */
  unheardPart(nowMs: number): number {
    const size = this.size(nowMs);
    return (size - 1 - this.heard(nowMs).length) / size;
  }

  /**
   * Removes VMs that have been silent for a long time.
   *
   * @param nowMs - monotonic time
   * @param withinMs - longest time since the last digest
   * @returns their last digests
   */
  drop(nowMs: number, withinMs = FORGOTTEN_MS): Digest[] {
    const gone = [...this.peers.values()].filter(({ heardMs }) => nowMs - heardMs > withinMs);
    gone.forEach(({ digest }) => this.peers.delete(digest.vm));
    return gone.map(({ digest }) => digest);
  }

  /**
   * Lists the VMs that are silent for longer than a time.
   *
   * @param nowMs - monotonic time
   * @param sinceMs - the time
   * @returns their names
   */
  silent(nowMs: number, sinceMs = GONE_MS): string[] {
    return [...this.peers.values()]
      .filter(({ heardMs }) => nowMs - heardMs > sinceMs)
      .map(({ digest }) => digest.vm);
  }
}
