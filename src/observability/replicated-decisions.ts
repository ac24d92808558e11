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

/** Entries kept of this VM, and entries kept as copies of others. */
const RING_CAPACITY = 20_000;

const COPY_INTERVAL_MS = 1000;

/** Entries in one message; about 300 bytes each. */
const MAX_BATCH_ENTRIES = 2000;

/** Entries that wait for a copy; while no peer takes them, the oldest are not copied. */
const MAX_PENDING_ENTRIES = 4000;

/** Peers that are asked at the same time. */
const MAX_CONCURRENT_QUERIES = 8;

/** A decision as it is sent between peers. */
type DecisionMessage = Omit<DecisionRecord, '$typeName' | '$unknown'>;

/** Decision records in memory, a selection of them copied to one peer in another zone. */
export class ReplicatedDecisions extends Decisions {
  private readonly own = DecisionRing.create(RING_CAPACITY);

  private readonly copies = DecisionRing.create(RING_CAPACITY);

  private readonly stopping = new AbortController();

  private readonly sampler: DecisionSampler;

  /** Entries to be copied, oldest first. */
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
   * @param kernel - finds the peers and the members
   * @param settings - names this VM and limits the copies
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
    if (this.pending.size > 2 * MAX_PENDING_ENTRIES) {
      this.pending = new Set([...this.pending].slice(-MAX_PENDING_ENTRIES));
    }
  }

  override async explain(requestId: string): Promise<readonly DecisionEntry[]> {
    const found = [...this.findLocally(requestId)];
    const members = [...this.listPeers()];
    const ask = async () => {
      for (let member = members.pop(); member; member = members.pop()) {
        found.push(...(await this.ask(member, requestId)));
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_QUERIES }, ask));
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
    const question = client.findDecisions({ sender: this.createSender(), requestId });
    const answer = await question.catch(() => undefined);
    return (answer?.records ?? []).map(decodeDecision);
  }

  private async runCopyLoop(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(COPY_INTERVAL_MS, signal);
      await this.copyPending();
    }
  }

  /** A batch that was not taken stays for the next second, when another peer may be chosen. */
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
    const apart = ranked.filter((member) => member.availabilityZone !== availabilityZone);
    const isNear = (member: Member) => member.region === region;
    return apart.find(isNear) ?? apart[0] ?? ranked.find(isNear) ?? ranked[0];
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

/** A copy lists its fields in another order than the original, so they are compared in a fixed one. */
function identityOf({ requestId, atMs, vm, step, choice, reason, facts }: DecisionEntry): string {
  return JSON.stringify([requestId, atMs, vm, step, choice, reason, facts]);
}
