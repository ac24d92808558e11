import { toMember, type FleetMember } from './digest.js';

/** Last known state of another VM. */
interface Peer {
  readonly member: FleetMember;
  /** Sequence number of its last digest; -1 if it is known only from the list of a hub. */
  readonly sequence: number;
  seenMs: number;
  /** The hub whose list contains it; undefined when its own digests arrive at this VM. */
  readonly hub: string | undefined;
  /** False once the list of its hub no longer contains it. */
  listed: boolean;
}

/** Time without a digest after which a VM is considered unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 1200;

/** The same time-out for VMs that a hub lists, in milliseconds; long enough to change to another hub. */
const LISTED_TIMEOUT_MS = 2500;

/** Time for which a VM's own digest takes precedence over the list of a hub, in milliseconds. */
const DIRECT_PRECEDENCE_MS = 600;

/** Time without a digest after which the work of a VM is no longer counted, in milliseconds. */
export const WORK_EXPIRY_MS = 3000;

/** Time without a digest after which a VM no longer takes part in sharing limits, in milliseconds. */
export const PEER_EXPIRY_MS = 12_000;

/** Tracks the other VMs of the fleet from their digests and from the member lists of hubs. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  private constructor(private readonly self: string) {}

  /**
   * Creates an empty table.
   *
   * @param self - name of this VM
   * @returns a table without peers
   */
  static create(self: string): PeerTable {
    return new PeerTable(self);
  }

  /**
   * Records a digest.
   *
   * @param digest - state that a VM reports
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when the digest is from this VM itself or not newer than the last one
   */
  recordDigest(digest: FleetMember & { readonly sequence: number }, nowMs: number): boolean {
    if (digest.vm === this.self) return false;
    const known = this.peers.get(digest.vm);
    const sameIncarnation = known?.member.incarnation === digest.incarnation;
    if (known && sameIncarnation && digest.sequence <= known.sequence) return false;
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
   * Records a hub's list of the VMs that it can reach. A VM whose own digest arrived less than
   * DIRECT_PRECEDENCE_MS ago is not changed.
   *
   * @param hub - name of the hub
   * @param members - all VMs that it can reach, including itself
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when some were not changed because their own digests take precedence
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
      const sameIncarnation = known?.member.incarnation === member.incarnation;
      const sequence = sameIncarnation ? (known?.sequence ?? -1) : -1;
      this.peers.set(member.vm, { member, sequence, seenMs: nowMs, hub, listed: true });
    });
    return complete;
  }

  /**
   * Records the list of a hub that this VM does not report to. Only VMs that are not reachable
   * otherwise are recorded.
   *
   * @param hub - name of the hub
   * @param members - VMs that it can reach
   * @param nowMs - monotonic time, in milliseconds
   */
  recordForeignList(hub: string, members: readonly FleetMember[], nowMs: number): void {
    members.forEach((member) => {
      const known = this.peers.get(member.vm);
      if (member.vm === this.self || (known && this.isReachable(known, nowMs))) return;
      this.peers.set(member.vm, { member, sequence: -1, seenMs: nowMs, hub, listed: true });
    });
  }

  /**
   * Records that a hub still reaches the VMs of its last list.
   *
   * @param hub - name of the hub
   * @param nowMs - monotonic time, in milliseconds
   */
  refreshList(hub: string, nowMs: number): void {
    this.peers.forEach((peer) => {
      if (peer.hub === hub && peer.listed) Object.assign(peer, { seenMs: nowMs });
    });
  }

  /**
   * Lists the reachable VMs.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the VMs
   */
  reachable(nowMs: number): FleetMember[] {
    return [...this.peers.values()]
      .filter((peer) => this.isReachable(peer, nowMs))
      .map(({ member }) => member);
  }

  /**
   * Returns when this VM last had contact with every reachable VM.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the earliest time at which one of them was last seen, or `nowMs` when none is reachable
   */
  oldestContactMs(nowMs: number): number {
    return [...this.peers.values()]
      .filter((peer) => this.isReachable(peer, nowMs))
      .reduce((oldest, { seenMs }) => Math.min(oldest, seenMs), nowMs);
  }

  /**
   * Finds a reachable VM.
   *
   * @param vm - name of the VM
   * @param nowMs - monotonic time, in milliseconds
   * @returns the VM, or undefined when it is unknown or unreachable
   */
  find(vm: string, nowMs: number): FleetMember | undefined {
    const peer = this.peers.get(vm);
    return peer && this.isReachable(peer, nowMs) ? peer.member : undefined;
  }

  /**
   * Lists the VMs that were seen within a time, including those that are unreachable now.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param withinMs - longest time since a VM was last seen, in milliseconds
   * @returns the VMs
   */
  known(nowMs: number, withinMs = PEER_EXPIRY_MS): FleetMember[] {
    return [...this.peers.values()]
      .filter(({ seenMs }) => nowMs - seenMs <= withinMs)
      .map(({ member }) => member);
  }

  /**
   * Counts the VMs that share limits, including this one.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns at least 1
   */
  size(nowMs: number): number {
    return 1 + this.known(nowMs).length;
  }

  /**
   * Computes the fraction of the fleet that is unreachable but may still be running.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param knownHosts - number of other hosts that are known by address, reachable or not
   * @returns a fraction from 0 to less than 1
   */
  unreachableFraction(nowMs: number, knownHosts = 0): number {
    const size = Math.max(this.size(nowMs), 1 + knownHosts);
    return (size - 1 - this.reachable(nowMs).length) / size;
  }

  /**
   * Removes the VMs that have not been seen for longer than `maxAgeMs`.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param maxAgeMs - longest time since a VM was last seen, in milliseconds
   * @returns the removed VMs
   */
  evict(nowMs: number, maxAgeMs = PEER_EXPIRY_MS): FleetMember[] {
    const expired = [...this.peers.values()].filter(({ seenMs }) => nowMs - seenMs > maxAgeMs);
    expired.forEach(({ member }) => this.peers.delete(member.vm));
    return expired.map(({ member }) => member);
  }

  private isReachable({ seenMs, hub, listed }: Peer, nowMs: number): boolean {
    return listed && nowMs - seenMs <= (hub === undefined ? PEER_TIMEOUT_MS : LISTED_TIMEOUT_MS);
  }
}
