import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { SystemClock } from '../kernel/system-clock.js';
import type { DecisionRecord } from '../gen/cuminspar/peer/v1/peer_pb.js';
import type { Member } from '../membership/membership.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import type { Settings } from '../settings/schema.js';
import { CopySelection } from './copy-selection.js';
import { DecisionRing } from './decision-ring.js';
import { type DecisionEntry, Decisions } from './decisions.js';

/** Entries kept of this VM, and entries kept as copies of others. */
const RING_ENTRIES = 20_000;

const COPY_MS = 1000;

/** Entries in one message; about 300 bytes each. */
const BATCH_ENTRIES = 2000;

/** Entries that wait for a copy; while no peer takes them, the oldest are not copied. */
const PENDING_ENTRIES = 4000;

/** Peers that are asked at the same time. */
const PARALLEL_QUESTIONS = 8;

/** A decision as it is sent between peers. */
type SentDecision = Omit<DecisionRecord, '$typeName' | '$unknown'>;

/** Decision records in memory, a selection of them copied to one peer in another zone. */
export class RingDecisions extends Decisions {
  private readonly own = DecisionRing.create(RING_ENTRIES);

  private readonly copies = DecisionRing.create(RING_ENTRIES);

  private readonly stopping = new AbortController();

  private readonly selection: CopySelection;

  /** Entries to be copied, oldest first. */
  private pending = new Set<DecisionEntry>();

  private loop: Promise<void> = Promise.resolve();

  private constructor(
    private readonly kernel: Kernel,
    private readonly vm: string,
    private readonly clock: Clock,
    copiesPerSecond: number,
  ) {
    super();
    this.selection = CopySelection.create((copiesPerSecond * COPY_MS) / 1000);
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
  ): RingDecisions {
    return new RingDecisions(kernel, settings.vm.name, clock, settings.decisions.copiesPerSecond);
  }

  override async start(): Promise<void> {
    this.kernel.find('peers').handle({
      copyDecisions: ({ records }) => {
        records.forEach((record) => this.copies.add(receiveDecision(record)));
        return {};
      },
      findDecisions: ({ requestId }) => ({ records: this.findHere(requestId).map(sendDecision) }),
    });
    this.loop = this.copy();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  override record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void {
    const complete = { ...entry, atMs: Math.trunc(this.clock.wallMs()), vm: this.vm };
    this.own.add(complete);
    if (!this.selection.take(complete)) return;
    this.pending.add(complete);
    if (this.pending.size > 2 * PENDING_ENTRIES) {
      this.pending = new Set([...this.pending].slice(-PENDING_ENTRIES));
    }
  }

  override async explain(requestId: string): Promise<readonly DecisionEntry[]> {
    const found = [...this.findHere(requestId)];
    const members = [...this.listOthers()];
    const ask = async () => {
      for (let member = members.pop(); member; member = members.pop()) {
        found.push(...(await this.ask(member, requestId)));
      }
    };
    await Promise.all(Array.from({ length: PARALLEL_QUESTIONS }, ask));
    const distinct = new Map(found.map((entry) => [identify(entry), entry]));
    return [...distinct.values()].sort((a, b) => a.atMs - b.atMs);
  }

  private findHere(requestId: string): readonly DecisionEntry[] {
    return [...this.own.find(requestId), ...this.copies.find(requestId)];
  }

  private listOthers(): readonly Member[] {
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
    return (answer?.records ?? []).map(receiveDecision);
  }

  private async copy(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.clock.sleep(COPY_MS, signal);
      await this.copyPending();
    }
  }

  /** A batch that was not taken stays for the next second, when another peer may be chosen. */
  private async copyPending(): Promise<void> {
    const earlier = this.own.findAny(this.selection.endRound());
    this.pending = new Set([...earlier, ...this.pending]);
    if (this.pending.size === 0) return;
    const peer = this.choosePeer();
    while (peer && this.pending.size > 0) {
      const batch = [...this.pending].slice(0, BATCH_ENTRIES);
      const client = this.kernel.find('peers').client(peer.peers);
      const records = batch.map(sendDecision);
      const call = client.copyDecisions({ sender: this.createSender(), records });
      if (!(await call.catch(() => undefined))) return;
      batch.forEach((entry) => this.pending.delete(entry));
    }
  }

  private choosePeer(): Member | undefined {
    const { availabilityZone, region } = this.kernel.find('membership').self();
    const ranked = rankByRendezvous(this.vm, this.listOthers(), ({ vm }) => vm);
    const apart = ranked.filter((member) => member.availabilityZone !== availabilityZone);
    const isNear = (member: Member) => member.region === region;
    return apart.find(isNear) ?? apart[0] ?? ranked.find(isNear) ?? ranked[0];
  }
}

function sendDecision(entry: DecisionEntry): SentDecision {
  const { facts, atMs, ...rest } = entry;
  return { ...rest, atMs: BigInt(atMs), factsJson: JSON.stringify(facts) };
}

function receiveDecision(record: SentDecision): DecisionEntry {
  const { requestId, vm, step, choice, reason } = record;
  const facts = JSON.parse(record.factsJson || '{}') as DecisionEntry['facts'];
  return { requestId, atMs: Number(record.atMs), vm, step, choice, reason, facts };
}

/** A copy lists its fields in another order than the original, so they are compared in a fixed one. */
function identify({ requestId, atMs, vm, step, choice, reason, facts }: DecisionEntry): string {
  return JSON.stringify([requestId, atMs, vm, step, choice, reason, facts]);
}
