import type { Digest, FleetMember, FleetWork, Summary } from './digest.js';
import { memberOf } from './digest.js';
import { SpendingLedger } from './spending-ledger.js';

/** Time without a digest after which a reporter's work is no longer summed, in milliseconds. */
export const REPORTER_SILENT_MS = 1200;

/** The same for the parts of other hubs, in milliseconds; their reporters move to this hub or another. */
const PART_SILENT_MS = 2500;

interface Heard<Message> {
  readonly message: Message;
  readonly heardMs: number;
}

/** What a hub sums: its own work, that of its reporters and the parts of the other hubs. */
export class Hub {
  private readonly reporters = new Map<string, Heard<Digest>>();

  private readonly parts = new Map<string, Heard<Summary>>();

  /** Spending of this VM and its reporters. */
  private readonly near = SpendingLedger.create();

  /** Spending by the parts of other hubs. */
  private readonly far = SpendingLedger.create();

  /**
   * Creates a hub without reporters.
   *
   * @returns a new hub
   */
  static create(): Hub {
    return new Hub();
  }

  /** VMs that report here. */
  get reporterNames(): string[] {
    return [...this.reporters.keys()];
  }

  /** The last digests of the VMs that report here. */
  get reports(): Digest[] {
    return [...this.reporters.values()].map(({ message }) => message);
  }

  /** Hubs that have sent their parts, with the hosts at which they are. */
  get partners(): { readonly vm: string; readonly host: string }[] {
    return [...this.parts.values()].map(({ message: { hub, host } }) => ({ vm: hub, host }));
  }

  /**
   * Takes the digest of a reporter.
   *
   * @param digest - what the VM says
   * @param nowMs - monotonic time
   */
  noteReporter(digest: Digest, nowMs: number): void {
    const known = this.reporters.get(digest.vm)?.message;
    if (known && known.incarnation !== digest.incarnation) this.near.forget(keyOf(known));
    this.reporters.set(digest.vm, { message: digest, heardMs: nowMs });
    this.near.note(keyOf(digest), digest.spent);
  }

  /**
   * Takes the part of another hub.
   *
   * @param part - the sum of that hub and its reporters
   * @param nowMs - monotonic time
   * @returns false when it is older than the last one
   */
  notePart(part: Summary, nowMs: number): boolean {
    const known = this.parts.get(part.hub)?.message;
    const same = known?.incarnation === part.incarnation;
    if (known && same && part.sequence <= known.sequence) return false;
    if (known && !same) this.far.forget(`${known.hub}/${known.incarnation}`);
    this.parts.set(part.hub, { message: part, heardMs: nowMs });
    this.far.note(`${part.hub}/${part.incarnation}`, part.spent);
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
    this.reporters.forEach(({ heardMs }, vm) => {
      if (nowMs - heardMs > REPORTER_SILENT_MS) this.dropReporter(vm);
    });
    this.parts.forEach(({ heardMs, message }, hub) => {
      if (nowMs - heardMs <= PART_SILENT_MS) return;
      this.parts.delete(hub);
      this.far.forget(`${hub}/${message.incarnation}`);
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
  sumPart(own: FleetWork): FleetWork & { readonly members: readonly FleetMember[] } {
    this.near.note('self', own.spent);
    const digests = this.reports;
    const members = digests.map(memberOf);
    return { ...sumWork([own, ...digests]), spent: this.near.sum(), members };
  }

  /**
   * Sums all VMs but one, for that one.
   *
   * @param own - work of this VM
   * @param except - a reporter, or undefined for this VM itself
   * @returns the sum
   */
  sumWhole(own: FleetWork, except?: string): FleetWork {
    this.near.note('self', own.spent);
    const reporter = except === undefined ? undefined : this.reporters.get(except)?.message;
    const digests = this.reports.filter(({ vm }) => vm !== except);
    const parts = [...this.parts.values()].map(({ message }) => message);
    const self = except === undefined ? [] : [own];
    const near = this.near.sum(reporter ? keyOf(reporter) : 'self');
    const spent = addSpent(near, this.far.sum());
    return { ...sumWork([...self, ...digests, ...parts]), spent };
  }

  private dropReporter(vm: string): void {
    const known = this.reporters.get(vm);
    if (!known) return;
    this.reporters.delete(vm);
    this.near.forget(keyOf(known.message));
  }
}

function keyOf({ vm, incarnation }: Digest): string {
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

function addSpent(left: FleetWork['spent'], right: FleetWork['spent']): FleetWork['spent'] {
  const sums = { ...left };
  Object.entries(right).forEach(([team, [all, inside]]) => {
    const [sumAll, sumInside] = sums[team] ?? [0, 0];
    sums[team] = [sumAll + all, sumInside + inside];
  });
  return sums;
}
