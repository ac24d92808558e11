import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { SystemClock } from '../kernel/system-clock.js';
import type { DecisionRecord } from '../gen/cuminspar/peer/v1/peer_pb.js';
import type { Member } from '../membership/membership.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import type { Settings } from '../settings/schema.js';
import { DecisionSampler } from './decision-sampler.js';
import { DecisionRing } from './decision-ring.js';
import { type DecisionEntry, Decisions } from './decisions.js';

/** Number of own entries kept, and number of copies kept of other VMs' entries. */
const RING_CAPACITY = 20_000;

/** Interval at which new entries are copied to a peer, in milliseconds. */
const COPY_INTERVAL_MS = 1000;

/** Maximum number of entries in one message; an entry takes about 300 bytes. */
const MAX_BATCH_ENTRIES = 2000;

/**
 * Number of entries kept for copying while no peer accepts them: when more than twice as many wait, the
 * older ones are not copied.
 */
const KEPT_PENDING_ENTRIES = 4000;

/** Maximum peers that are queried concurrently. */
const MAX_CONCURRENT_QUERIES = 8;

/** A decision in the form sent between peers. */
type DecisionMessage = Omit<DecisionRecord, '$typeName' | '$unknown'>;

/** Keeps decisions in memory and copies a sample of them to one peer, if possible in another zone. */
export class ReplicatedDecisions extends Decisions {
  private readonly own = DecisionRing.create(RING_CAPACITY);

  private readonly copies = DecisionRing.create(RING_CAPACITY);

  private readonly stopping = new AbortController();

  private readonly sampler: DecisionSampler;

  /** Entries waiting to be copied, oldest first. */
  private pending = new Set<DecisionEntry>();

  private copyLoop: Promise<void> = Promise.resolve();

  private constructor(
    private readonly kernel: Kernel,
    private readonly vm: string,
    private readonly clock: Clock,
    copiesPerSecond: number,
  ) {
    super();
    this.sampler = DecisionSampler.create((copiesPerSecond * COPY_INTERVAL_MS) / 1000);
  }

  /**
   * Creates the service.
   *
   * @param kernel - provides the peers and the members
   * @param settings - name of this VM, and limit of copies per second
   * @param clock - time of the decisions
   * @returns a service that copies its entries after its start
   */
  static create(
    kernel: Kernel,
    settings: Pick<Settings, 'vm' | 'decisions'>,
    clock: Clock = SystemClock.create(),
  ): ReplicatedDecisions {
    return new ReplicatedDecisions(
      kernel,
      settings.vm.name,
      clock,
      settings.decisions.copiesPerSecond,
    );
  }

  override async start(): Promise<void> {
    this.kernel.find('peers').handle({
      copyDecisions: ({ records }) => {
        records.forEach((record) => this.copies.add(decodeDecision(record)));
        return {};
      },
      findDecisions: ({ requestId }) => ({
        records: this.findLocally(requestId).map(encodeDecision),
      }),
    });
    this.copyLoop = this.runCopyLoop();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await this.copyLoop;
  }

  override record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void {
    const complete = { ...entry, atMs: Math.trunc(this.clock.wallMs()), vm: this.vm };
    this.own.add(complete);
    if (!this.sampler.sample(complete)) return;
    this.pending.add(complete);
    if (this.pending.size > 2 * KEPT_PENDING_ENTRIES) {
      this.pending = new Set([...this.pending].slice(-KEPT_PENDING_ENTRIES));
    }
  }

  override async explain(requestId: string): Promise<readonly DecisionEntry[]> {
    const found = [...this.findLocally(requestId)];
    const members = [...this.listPeers()];
    const queryPeers = async () => {
      for (let member = members.pop(); member; member = members.pop()) {
        found.push(...(await this.ask(member, requestId)));
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_QUERIES }, queryPeers));
    const distinct = new Map(found.map((entry) => [identityOf(entry), entry]));
    return [...distinct.values()].sort((a, b) => a.atMs - b.atMs);
  }

  private findLocally(requestId: string): readonly DecisionEntry[] {
    return [...this.own.find(requestId), ...this.copies.find(requestId)];
  }

  private listPeers(): readonly Member[] {
    const { members } = this.kernel.find('membership').current();
    return members.filter(({ vm }) => vm !== this.vm);
  }

  private createSender() {
    const { vm, incarnation } = this.kernel.find('membership').self();
    return { vm, incarnation };
  }

  private async ask(member: Member, requestId: string): Promise<readonly DecisionEntry[]> {
    const client = this.kernel.find('peers').client(member.peers);
    const call = client.findDecisions({ sender: this.createSender(), requestId });
    const response = await call.catch(() => undefined);
    return (response?.records ?? []).map(decodeDecision);
  }

  private async runCopyLoop(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(COPY_INTERVAL_MS, signal);
      await this.copyPending();
    }
  }

  /** A batch that the peer did not accept stays for the next interval, when another peer may be chosen. */
  private async copyPending(): Promise<void> {
    const earlier = this.own.findAny(this.sampler.endRound());
    this.pending = new Set([...earlier, ...this.pending]);
    if (this.pending.size === 0) return;
    const peer = this.choosePeer();
    while (peer && this.pending.size > 0) {
      const batch = [...this.pending].slice(0, MAX_BATCH_ENTRIES);
      const client = this.kernel.find('peers').client(peer.peers);
      const records = batch.map(encodeDecision);
      const call = client.copyDecisions({ sender: this.createSender(), records });
      if (!(await call.catch(() => undefined))) return;
      batch.forEach((entry) => this.pending.delete(entry));
    }
  }

  private choosePeer(): Member | undefined {
    const { availabilityZone, region } = this.kernel.find('membership').self();
    const ranked = rankByRendezvous(this.vm, this.listPeers(), ({ vm }) => vm);
    const otherZone = ranked.filter((member) => member.availabilityZone !== availabilityZone);
    const isNearby = (member: Member) => member.region === region;
    return otherZone.find(isNearby) ?? otherZone[0] ?? ranked.find(isNearby) ?? ranked[0];
  }
}

function encodeDecision(entry: DecisionEntry): DecisionMessage {
  const { facts, atMs, ...rest } = entry;
  return { ...rest, atMs: BigInt(atMs), factsJson: JSON.stringify(facts) };
}

function decodeDecision(record: DecisionMessage): DecisionEntry {
  const { requestId, vm, step, choice, reason } = record;
  const facts = JSON.parse(record.factsJson || '{}') as DecisionEntry['facts'];
  return { requestId, atMs: Number(record.atMs), vm, step, choice, reason, facts };
}

/** Lists the fields in a fixed order, because a copy has them in another order than the original. */
function identityOf({ requestId, atMs, vm, step, choice, reason, facts }: DecisionEntry): string {
  return JSON.stringify([requestId, atMs, vm, step, choice, reason, facts]);
}
