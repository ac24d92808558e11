import type { Digest, FleetMember, FleetWork, Summary } from './digest.js';
import { toMember } from './digest.js';
import { SpendingLedger } from './spending-ledger.js';

/** Time without a digest after which a reporter's work is no longer summed, in milliseconds. */
export const REPORTER_EXPIRY_MS = 1200;

/** The same for the parts of other hubs, in milliseconds; their reporters move to this hub or another. */
const PARTIAL_EXPIRY_MS = 2500;

interface Received<Message> {
  readonly message: Message;
  readonly receivedMs: number;
}

/** What a hub sums: its own work, that of its reporters and the parts of the other hubs. */
export class HubAggregator {
  private readonly digestsByReporter = new Map<string, Received<Digest>>();

  private readonly partials = new Map<string, Received<Summary>>();

  /** Spending of this VM and its reporters. */
  private readonly localSpending = SpendingLedger.create();

  /** Spending by the parts of other hubs. */
  private readonly remoteSpending = SpendingLedger.create();

  /**
   * Creates a hub without reporters.
   *
   * @returns a new hub
   */
  static create(): HubAggregator {
    return new HubAggregator();
  }

  /** VMs that report here. */
  get reporterNames(): string[] {
    return [...this.digestsByReporter.keys()];
  }

  /** The last digests of the VMs that report here. */
  get reporterDigests(): Digest[] {
    return [...this.digestsByReporter.values()].map(({ message }) => message);
  }

  /** Hubs that have sent their parts, with the hosts at which they are. */
  get otherHubs(): { readonly vm: string; readonly host: string }[] {
    return [...this.partials.values()].map(({ message: { hub, host } }) => ({ vm: hub, host }));
  }

  /**
   * Takes the digest of a reporter.
   *
   * @param digest - what the VM says
   * @param nowMs - monotonic time
   */
  recordDigest(digest: Digest, nowMs: number): void {
    const known = this.digestsByReporter.get(digest.vm)?.message;
    if (known && known.incarnation !== digest.incarnation)
      this.localSpending.retire(ledgerKey(known));
    this.digestsByReporter.set(digest.vm, { message: digest, receivedMs: nowMs });
    this.localSpending.record(ledgerKey(digest), digest.spent);
  }

  /**
   * Takes the part of another hub.
   *
   * @param part - the sum of that hub and its reporters
   * @param nowMs - monotonic time
   * @returns false when it is older than the last one
   */
  recordPartial(part: Summary, nowMs: number): boolean {
    const known = this.partials.get(part.hub)?.message;
    const same = known?.incarnation === part.incarnation;
    if (known && same && part.sequence <= known.sequence) return false;
    if (known && !same) this.remoteSpending.retire(`${known.hub}/${known.incarnation}`);
    this.partials.set(part.hub, { message: part, receivedMs: nowMs });
    this.remoteSpending.record(`${part.hub}/${part.incarnation}`, part.spent);
    // A hub sums itself in its part; as a reporter it would count twice.
    this.dropReporter(part.hub);
    return true;
  }

  /**
   * Drops what has not been heard for a time.
   *
   * @param nowMs - monotonic time
   */
  expire(nowMs: number): void {
    this.digestsByReporter.forEach(({ receivedMs }, vm) => {
      if (nowMs - receivedMs > REPORTER_EXPIRY_MS) this.dropReporter(vm);
    });
    this.partials.forEach(({ receivedMs, message }, hub) => {
      if (nowMs - receivedMs <= PARTIAL_EXPIRY_MS) return;
      this.partials.delete(hub);
      this.remoteSpending.retire(`${hub}/${message.incarnation}`);
    });
  }

  /** Forgets all that was heard, because this VM is a hub no longer. */
  clear(): void {
    this.reporterNames.forEach((vm) => this.dropReporter(vm));
    this.expire(Infinity);
  }

  /**
   * Sums this VM and its reporters, for the other hubs.
   *
   * @param own - work of this VM
   * @returns the sum, with the VMs that are in it
   */
  sumPartial(own: FleetWork): FleetWork & { readonly members: readonly FleetMember[] } {
    this.localSpending.record('self', own.spent);
    const digests = this.reporterDigests;
    const members = digests.map(toMember);
    return { ...sumWork([own, ...digests]), spent: this.localSpending.sum(), members };
  }

  /**
   * Sums all VMs but one, for that one.
   *
   * @param own - work of this VM
   * @param except - a reporter, or undefined for this VM itself
   * @returns the sum
   */
  sumTotal(own: FleetWork, except?: string): FleetWork {
    this.localSpending.record('self', own.spent);
    const reporter = except === undefined ? undefined : this.digestsByReporter.get(except)?.message;
    const digests = this.reporterDigests.filter(({ vm }) => vm !== except);
    const partials = [...this.partials.values()].map(({ message }) => message);
    const self = except === undefined ? [] : [own];
    const near = this.localSpending.sum(reporter ? ledgerKey(reporter) : 'self');
    const spent = addSpending(near, this.remoteSpending.sum());
    return { ...sumWork([...self, ...digests, ...partials]), spent };
  }

  private dropReporter(vm: string): void {
    const known = this.digestsByReporter.get(vm);
    if (!known) return;
    this.digestsByReporter.delete(vm);
    this.localSpending.retire(ledgerKey(known.message));
  }
}

function ledgerKey({ vm, incarnation }: Digest): string {
  return `${vm}/${incarnation}`;
}

/** Sums all but the spending, which needs a ledger. */
function sumWork(works: readonly FleetWork[]): Omit<FleetWork, 'spent'> {
  const loads = new Map<string, [number, number, number]>();
  const avoided = new Map<string, number>();
  const leavers = new Map<string, number>();
  works.forEach((work) => {
    work.loads.forEach(([id, running, kvTokens, prefillTokens]) => {
      const sum = loads.get(id) ?? [0, 0, 0];
      loads.set(id, [sum[0] + running, sum[1] + kvTokens, sum[2] + prefillTokens]);
    });
    work.avoided.forEach(([id, ms]) => avoided.set(id, Math.max(ms, avoided.get(id) ?? 0)));
    work.leavers.forEach(([id, atMs]) => leavers.set(id, Math.max(atMs, leavers.get(id) ?? 0)));
  });
  return {
    punctual: works.reduce((sum, { punctual }) => sum + punctual, 0),
    loads: [...loads].map(([id, [running, kv, prefill]]) => [id, running, kv, prefill]),
    avoided: [...avoided],
    leavers: [...leavers],
  };
}

function addSpending(left: FleetWork['spent'], right: FleetWork['spent']): FleetWork['spent'] {
  const sums = { ...left };
  Object.entries(right).forEach(([team, [all, inside]]) => {
    const [sumAll, sumInside] = sums[team] ?? [0, 0];
    sums[team] = [sumAll + all, sumInside + inside];
  });
  return sums;
}
