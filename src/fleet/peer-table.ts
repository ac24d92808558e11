import { toMember, type FleetMember } from './digest.js';

/** Another VM, as it was last heard. */
interface Peer {
  readonly member: FleetMember;
  /** Number of its last digest; -1 when it was only listed by a hub. */
  readonly sequence: number;
  seenMs: number;
  /** The hub that lists it; undefined when its own digests arrive here. */
  readonly hub: string | undefined;
  /** False once its hub lists it no longer. */
  listed: boolean;
}

/** Time without digests after which a VM is taken for unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 1200;

/** The same for VMs that a hub lists; covers the change to another hub. */
const LISTED_TIMEOUT_MS = 2500;

/** Time since a VM's own digest within which it goes before a hub's list, in milliseconds. */
const DIRECT_PRECEDENCE_MS = 600;

/** Time without digests after which a VM's work is no longer counted, in milliseconds. */
export const WORK_EXPIRY_MS = 3000;

/** Time without digests after which a VM no longer shares limits, in milliseconds. */
export const PEER_EXPIRY_MS = 12_000;

/** Knows the VMs of the fleet from their digests and from the lists of hubs. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  private constructor(private readonly self: string) {}

  /**
   * Creates an empty book.
   *
   * @param self - name of this VM
   * @returns a book without peers
   */
  static create(self: string): PeerTable {
    return new PeerTable(self);
  }

  /**
   * Takes a digest.
   *
   * @param digest - what a VM says of itself
   * @param nowMs - monotonic time
   * @returns false when it is this VM's own or older than the last one
   */
  recordDigest(digest: FleetMember & { readonly sequence: number }, nowMs: number): boolean {
    if (digest.vm === this.self) return false;
    const known = this.peers.get(digest.vm);
    const same = known?.member.incarnation === digest.incarnation;
    if (known && same && digest.sequence <= known.sequence) return false;
    this.peers.set(digest.vm, {
      member: toMember(digest),
      sequence: digest.sequence,
      seenMs: nowMs,
      hub: undefined,
      listed: true,
    });
    return true;
  }

  /**
   * Takes a hub's list of the VMs that it hears. VMs whose own digests arrive here are not changed.
   *
   * @param hub - name of the hub
   * @param members - all VMs that it hears, itself included
   * @param nowMs - monotonic time
   * @returns false when some were left out, because their own digests have arrived just before
   */
  recordList(hub: string, members: readonly FleetMember[], nowMs: number): boolean {
    let complete = true;
    const names = new Set(members.map(({ vm }) => vm));
    this.peers.forEach((peer, vm) => {
      if (peer.hub === hub && !names.has(vm)) Object.assign(peer, { listed: false });
    });
    members.forEach((member) => {
      const known = this.peers.get(member.vm);
      const isDirect =
        known?.hub === undefined && nowMs - (known?.seenMs ?? -Infinity) < DIRECT_PRECEDENCE_MS;
      if (member.vm === this.self) return;
      if (isDirect) {
        complete = false;
        return;
      }
      const same = known?.member.incarnation === member.incarnation;
      const sequence = same ? (known?.sequence ?? -1) : -1;
      this.peers.set(member.vm, { member, sequence, seenMs: nowMs, hub, listed: true });
    });
    return complete;
  }

  /**
   * Takes a list of a hub that is not this VM's own: only VMs that are not heard otherwise.
   *
   * @param hub - name of the hub
   * @param members - VMs that it hears
   * @param nowMs - monotonic time
   */
  recordForeignList(hub: string, members: readonly FleetMember[], nowMs: number): void {
    members.forEach((member) => {
      const known = this.peers.get(member.vm);
      if (member.vm === this.self || (known && this.isReachable(known, nowMs))) return;
      this.peers.set(member.vm, { member, sequence: -1, seenMs: nowMs, hub, listed: true });
    });
  }

  /**
   * Notes that a hub still hears the VMs of its last list.
   *
   * @param hub - name of the hub
   * @param nowMs - monotonic time
   */
  refreshList(hub: string, nowMs: number): void {
    this.peers.forEach((peer) => {
      if (peer.hub === hub && peer.listed) Object.assign(peer, { seenMs: nowMs });
    });
  }

  /**
   * Lists the VMs that are heard.
   *
   * @param nowMs - monotonic time
   * @returns the VMs
   */
  reachable(nowMs: number): FleetMember[] {
    return [...this.peers.values()]
      .filter((peer) => this.isReachable(peer, nowMs))
      .map(({ member }) => member);
  }

  /**
   * Finds a VM that is heard.
   *
   * @param vm - name of the VM
   * @param nowMs - monotonic time
   * @returns the VM, or undefined when it is unknown or silent
   */
  find(vm: string, nowMs: number): FleetMember | undefined {
    const peer = this.peers.get(vm);
    return peer && this.isReachable(peer, nowMs) ? peer.member : undefined;
  }

  /**
   * Lists the VMs that were heard within a time, the silent ones included.
   *
   * @param nowMs - monotonic time
   * @param withinMs - longest time since the last news
   * @returns the VMs
   */
  known(nowMs: number, withinMs = PEER_EXPIRY_MS): FleetMember[] {
    return [...this.peers.values()]
      .filter(({ seenMs }) => nowMs - seenMs <= withinMs)
      .map(({ member }) => member);
  }

  /**
   * Counts the VMs that share limits, this one included.
   *
   * @param nowMs - monotonic time
   * @returns at least 1
   */
  size(nowMs: number): number {
    return 1 + this.known(nowMs).length;
  }

  /**
   * Computes the part of the fleet that is silent but may still be at work.
   *
   * @param nowMs - monotonic time
   * @param named - other VMs that are known by name, heard or not
   * @returns 0 to less than 1
   */
  unreachableFraction(nowMs: number, named = 0): number {
    const size = Math.max(this.size(nowMs), 1 + named);
    return (size - 1 - this.reachable(nowMs).length) / size;
  }

  /**
   * Removes VMs that have been silent for a long time.
   *
   * @param nowMs - monotonic time
   * @param withinMs - longest time since the last digest
   * @returns the VMs that were removed
   */
  evict(nowMs: number, withinMs = PEER_EXPIRY_MS): FleetMember[] {
    const gone = [...this.peers.values()].filter(({ seenMs }) => nowMs - seenMs > withinMs);
    gone.forEach(({ member }) => this.peers.delete(member.vm));
    return gone.map(({ member }) => member);
  }

  private isReachable({ seenMs, hub, listed }: Peer, nowMs: number): boolean {
    return listed && nowMs - seenMs <= (hub === undefined ? PEER_TIMEOUT_MS : LISTED_TIMEOUT_MS);
  }
}
