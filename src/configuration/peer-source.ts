import type { Address } from '../domain/vm.js';
import type { LogRecord as PeerRecord } from '../gen/cuminspar/peer/v1/peer_pb.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { PeerClient } from '../peers/peers.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import { parseFold } from './fold-json.js';
import type { FoldTask } from './fold-task.js';
import { CONFIGURATION_STREAM } from './stream-name.js';

const CALL_TIMEOUT_MS = 1000;
const FETCH_LIMIT = 500;
const MAX_PEERS_QUERIED = 3;

/** Maximum wait for the VM list at start-up; reading the list takes up to 2 s. */
const PEER_DISCOVERY_TIMEOUT_MS = 2500;
const PEER_DISCOVERY_POLL_MS = 20;

/** What a fetch may transfer: only single records, or also a snapshot, which is far larger. */
export type FetchScope = 'records' | 'snapshot';

/** Another daemon that can be called. */
export interface Peer {
  readonly vm: string;
  readonly address: Address;
}

/**
 * Fetches records that the log does not deliver from peers, and exchanges withdrawn keys with them.
 */
export class PeerSource {
  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
  ) {}

  /**
   * Creates a source.
   *
   * @param kernel - registry for looking up membership, VM list and peers
   * @param clock - clock used for waits
   * @param task - fold that receives the records
   * @returns a new source
   */
  static create(kernel: Kernel, clock: Clock, task: FoldTask): PeerSource {
    return new PeerSource(kernel, clock, task);
  }

  /**
   * Lists the other daemons in random order: the members, or those of the VM list while no other
   * members are known.
   *
   * @returns the peers
   */
  list(): readonly Peer[] {
    const membership = this.kernel.find('membership');
    const self = membership.self().vm;
    const members = membership.current().members.map((member) => ({
      vm: member.vm,
      address: member.peers,
    }));
    const listed = (this.kernel.find('vm-list').current()?.vms ?? []).map((vm) => ({
      vm: vm.name,
      address: { host: vm.host, port: vm.peerPort },
    }));
    const others = (peers: readonly Peer[]) => peers.filter((peer) => peer.vm !== self);
    const known = others(members);
    return shuffle(known.length > 0 ? known : others(listed));
  }

  /**
   * Asks up to three peers in turn for missing records, until one of them has newer ones.
   *
   * @param scope - `snapshot` also fetches a snapshot, for a daemon that is known to be behind
   * @returns true when the version grew or the first complete read succeeded
   */
  async fetchFromAny(scope: FetchScope): Promise<boolean> {
    for (const peer of this.list().slice(0, MAX_PEERS_QUERIED)) {
      if (await this.fetchFrom(peer, scope)) return true;
    }
    return false;
  }

  /**
   * Fetches missing records from one peer.
   *
   * @param peer - peer to ask
   * @param scope - `snapshot` fetches a snapshot when the peer has no newer records to send
   * @returns true when the version grew or the first complete read succeeded
   */
  async fetchFrom(peer: Peer, scope: FetchScope): Promise<boolean> {
    try {
      if (await this.fetchRecords(peer)) return true;
      return scope === 'snapshot' && (await this.fetchSnapshot(peer));
    } catch {
      return false;
    }
  }

  /**
   * Waits until peers or the VM list are known, for at most 2.5 s.
   *
   * @param signal - cancels the wait
   */
  async waitForPeerList(signal: AbortSignal): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + PEER_DISCOVERY_TIMEOUT_MS;
    const isUnknown = () => this.list().length === 0 && !this.kernel.find('vm-list').current();
    while (isUnknown() && this.clock.monotonicMs() < deadlineMs && !signal.aborted) {
      await this.clock.sleep(PEER_DISCOVERY_POLL_MS, signal);
    }
  }

  /**
   * Asks up to three peers for withdrawn keys.
   *
   * @returns the withdrawn keys that the peers have not found in the log yet
   */
  async fetchWithdrawals(): Promise<readonly string[]> {
    const peers = this.list().slice(0, MAX_PEERS_QUERIED);
    const answers = await Promise.all(peers.map((peer) => this.exchangeWithdrawals(peer, [])));
    return answers.flatMap((keyIds) => keyIds ?? []);
  }

  /** Catches up with up to three peers, which may know more than a lagging log replica. */
  async catchUp(): Promise<void> {
    const peers = this.list().slice(0, MAX_PEERS_QUERIED);
    await Promise.all(peers.map((peer) => this.catchUpWith(peer)));
  }

  /**
   * Sends withdrawn keys to a peer and receives those that it has not found in the log.
   *
   * @param peer - peer to call
   * @param keyIds - withdrawn keys
   * @returns the withdrawn keys that the peer has not read from the log yet, or undefined when the
   *   call failed
   */
  async exchangeWithdrawals(
    peer: Peer,
    keyIds: readonly string[],
  ): Promise<readonly string[] | undefined> {
    try {
      const request = { sender: this.sender(), keyIds: [...keyIds] };
      const response = await this.client(peer).withdrawKeys(request, {
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return response.keyIds;
    } catch {
      return undefined;
    }
  }

  private async catchUpWith(peer: Peer): Promise<void> {
    let grows = true;
    while (grows) grows = await this.fetchFrom(peer, 'records');
    if (await this.mayBeAhead(peer)) await this.fetchFrom(peer, 'snapshot');
  }

  /** A peer that still keeps this daemon's newest record, and none after it, is not ahead. */
  private async mayBeAhead(peer: Peer): Promise<boolean> {
    try {
      const records = await this.readRecords(peer, this.task.version);
      return records.at(-1)?.offset !== this.task.version;
    } catch {
      return false;
    }
  }

  private async fetchRecords(peer: Peer): Promise<boolean> {
    const before = this.task.version;
    const after = await this.task.applyRecords(await this.readRecords(peer, before + 1), false);
    return after > before;
  }

  private async readRecords(peer: Peer, from: number): Promise<readonly LogRecord[]> {
    const request = {
      sender: this.sender(),
      stream: CONFIGURATION_STREAM,
      fromOffset: BigInt(from),
      limit: FETCH_LIMIT,
    };
    const response = await this.client(peer).fetchRecords(request, { timeoutMs: CALL_TIMEOUT_MS });
    return response.records.map(fromPeerRecord);
  }

  private async fetchSnapshot(peer: Peer): Promise<boolean> {
    const before = { version: this.task.version, complete: this.task.state !== undefined };
    const request = { sender: this.sender(), stream: CONFIGURATION_STREAM };
    const response = await this.client(peer).fetchSnapshot(request, { timeoutMs: CALL_TIMEOUT_MS });
    if (!response.available || Number(response.offset) < before.version) return false;
    const fold = parseFold(response.stateJson);
    if (fold.kind === 'failed') return false;
    const after = await this.task.applySnapshot(fold.value, true);
    return after > before.version || !before.complete;
  }

  private client(peer: Peer): PeerClient {
    return this.kernel.find('peers').client(peer.address);
  }

  private sender(): { vm: string; incarnation: string } {
    const { vm, incarnation } = this.kernel.find('membership').self();
    return { vm, incarnation };
  }
}

function fromPeerRecord(record: PeerRecord): LogRecord {
  return {
    offset: Number(record.offset),
    timestampMs: Number(record.timestampMs),
    data: record.data,
  };
}

function shuffle<Item>(items: readonly Item[]): Item[] {
  return items
    .map((item) => ({ item, order: Math.random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);
}
