import { ageCapacityReport, mergeCapacityReports } from '../capacity/capacity-report.js';
import { ageSoundReports, mergeCrashReports, mergeSoundReports } from '../relay/crash-reports.js';
import { addSums } from '../relay/pool-costs.js';
import { ageColdReports, mergeColdReports } from '../relay/cold-servers.js';
import { ageLimitReport, mergeLimitReports } from '../relay/server-limits.js';
import type { Digest, FleetMember, FleetWork, Summary } from './digest.js';
import { toMember } from './digest.js';
import { WorkLedger } from './work-ledger.js';

/** Time without a digest after which the work of a reporter is no longer summed, in milliseconds. */
export const REPORTER_EXPIRY_MS = 1200;

/** The same time-out for partial sums of other hubs, in milliseconds; their reporters move to another hub. */
const PARTIAL_EXPIRY_MS = 2500;

interface Received<Message> {
  readonly message: Message;
  readonly receivedMs: number;
}

/** Sums the work of a hub itself, of its reporters and the partial sums of the other hubs. */
export class HubAggregator {
  private readonly digestsByReporter = new Map<string, Received<Digest>>();

  private readonly partials = new Map<string, Received<Summary>>();

  /** Spending of this VM and its reporters. */
  private readonly local = WorkLedger.create();

  /** Spending in the partial sums of other hubs. */
  private readonly remote = WorkLedger.create(true);

  /**
   * Creates a hub without reporters.
   *
   * @returns a new hub
   */
  static create(): HubAggregator {
    return new HubAggregator();
  }

  /** Names of the VMs that report to this hub. */
  get reporterNames(): string[] {
    return [...this.digestsByReporter.keys()];
  }

  /** Last digests of the VMs that report to this hub. */
  get reporterDigests(): Digest[] {
    return [...this.digestsByReporter.values()].map(({ message }) => message);
  }

  /** Hubs whose partial sums have arrived, with their hosts. */
  get otherHubs(): { readonly vm: string; readonly host: string }[] {
    return [...this.partials.values()].map(({ message: { hub, host } }) => ({ vm: hub, host }));
  }

  /**
   * Records the digest of a reporter.
   *
   * @param digest - state that the VM reports
   * @param nowMs - monotonic time, in milliseconds
   */
  recordDigest(digest: Digest, nowMs: number): void {
    const known = this.digestsByReporter.get(digest.vm)?.message;
    if (known && known.incarnation !== digest.incarnation) this.local.retire(ledgerKey(known));
    this.digestsByReporter.set(digest.vm, { message: digest, receivedMs: nowMs });
    this.local.record(ledgerKey(digest), digest);
  }

  /**
   * Records the partial sum of another hub.
   *
   * @param partial - sum of that hub and its reporters
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when it is not newer than the last one
   */
  recordPartial(partial: Summary, nowMs: number): boolean {
    const known = this.partials.get(partial.hub)?.message;
    const sameIncarnation = known?.incarnation === partial.incarnation;
    if (known && sameIncarnation && partial.sequence <= known.sequence) return false;
    if (known && !sameIncarnation) this.remote.retire(`${known.hub}/${known.incarnation}`);
    this.partials.set(partial.hub, { message: partial, receivedMs: nowMs });
    this.remote.record(`${partial.hub}/${partial.incarnation}`, partial);
    // The partial sum contains the hub's own work; as a reporter the hub would be counted twice.
    this.dropReporter(partial.hub);
    return true;
  }

  /**
   * Removes reporters after REPORTER_EXPIRY_MS and partial sums after PARTIAL_EXPIRY_MS without an update.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  expire(nowMs: number): void {
    this.digestsByReporter.forEach(({ receivedMs }, vm) => {
      if (nowMs - receivedMs > REPORTER_EXPIRY_MS) this.dropReporter(vm);
    });
    this.partials.forEach(({ receivedMs, message }, hub) => {
      if (nowMs - receivedMs <= PARTIAL_EXPIRY_MS) return;
      this.partials.delete(hub);
      this.remote.retire(`${hub}/${message.incarnation}`);
    });
  }

  /** Removes all reporters and partial sums, because this VM is no longer a hub. */
  clear(): void {
    this.reporterNames.forEach((vm) => this.dropReporter(vm));
    this.expire(Infinity);
  }

  /**
   * Sums the work of this VM and its reporters, for the other hubs.
   *
   * @param own - work of this VM
   * @param nowMs - monotonic time, in milliseconds
   * @returns the sum and the reporters that it includes
   */
  sumPartial(
    own: FleetWork,
    nowMs: number,
  ): FleetWork & { readonly members: readonly FleetMember[] } {
    this.local.record('self', own);
    const members = this.reporterDigests.map(toMember);
    const digests = ageMessages([...this.digestsByReporter.values()], nowMs);
    return { ...sumWork([own, ...digests]), ...this.local.sum(), members };
  }

  /**
   * Sums the work of all VMs except one, to be sent to that one.
   *
   * @param own - work of this VM
   * @param nowMs - monotonic time, in milliseconds
   * @param except - name of a reporter, or undefined for this VM itself
   * @returns the sum
   */
  sumTotal(own: FleetWork, nowMs: number, except?: string): FleetWork {
    this.local.record('self', own);
    const reporter = except === undefined ? undefined : this.digestsByReporter.get(except)?.message;
    const others = [...this.digestsByReporter.values()].filter(
      ({ message: { vm } }) => vm !== except,
    );
    const digests = ageMessages(others, nowMs);
    const partials = ageMessages([...this.partials.values()], nowMs);
    const self = except === undefined ? [] : [own];
    const local = this.local.sum(reporter ? ledgerKey(reporter) : 'self');
    const remote = this.remote.sum();
    const spent = addCounters(local.spent, remote.spent);
    const retries = addCounters(local.retries, remote.retries);
    return { ...sumWork([...self, ...digests, ...partials]), spent, retries };
  }

  private dropReporter(vm: string): void {
    const known = this.digestsByReporter.get(vm);
    if (!known) return;
    this.digestsByReporter.delete(vm);
    this.local.retire(ledgerKey(known.message));
  }
}

function ledgerKey({ vm, incarnation }: Digest): string {
  return `${vm}/${incarnation}`;
}

/** Adds the time for which messages have been held to their ages, and reduces the weight of their capacities. */
function ageMessages(received: readonly Received<FleetWork>[], nowMs: number): FleetWork[] {
  return received.map(({ message, receivedMs }) => {
    const heldMs = Math.round(nowMs - receivedMs);
    const limits = message.limits.map((report) => ageLimitReport(report, heldMs));
    const cold = ageColdReports(message.cold, heldMs);
    const sound = ageSoundReports(message.sound, heldMs);
    const capacities = message.capacities.map((report) => ageCapacityReport(report, heldMs));
    return { ...message, sound, limits, cold, capacities };
  });
}

/** Sums everything except the spending, for which a ledger is needed. */
function sumWork(works: readonly FleetWork[]): Omit<FleetWork, 'spent' | 'retries'> {
  const loads = new Map<string, [number, number, number]>();
  const avoided = new Map<string, number>();
  const leavers = new Map<string, number>();
  const costs: FleetWork['costs'] = {};
  works.forEach((work) => {
    work.loads.forEach(([id, running, kvTokens, prefillTokens]) => {
      const sum = loads.get(id) ?? [0, 0, 0];
      loads.set(id, [sum[0] + running, sum[1] + kvTokens, sum[2] + prefillTokens]);
    });
    Object.entries(work.costs).forEach(([pool, sums]) => {
      costs[pool] = [...addSums(costs[pool] ?? [0, 0, 0, 0], sums)];
    });
    work.avoided.forEach(([id, ms]) => avoided.set(id, Math.max(ms, avoided.get(id) ?? 0)));
    work.leavers.forEach(([id, atMs]) => leavers.set(id, Math.max(atMs, leavers.get(id) ?? 0)));
  });
  return {
    punctual: works.reduce((sum, { punctual }) => sum + punctual, 0),
    waiting: works.reduce((sum, { waiting }) => sum + waiting, 0),
    startsPerSecond: works.reduce((sum, { startsPerSecond }) => sum + startsPerSecond, 0),
    loads: [...loads].map(([id, [running, kv, prefill]]) => [id, running, kv, prefill]),
    costs,
    avoided: [...avoided],
    leavers: [...leavers],
    crashes: mergeCrashReports(works.map(({ crashes }) => crashes)),
    sound: mergeSoundReports(works.map(({ sound }) => sound)),
    limits: mergeLimitReports(works.map(({ limits }) => limits)),
    cold: mergeColdReports(works.map(({ cold }) => cold)),
    capacities: mergeCapacityReports(works.map(({ capacities }) => capacities)),
  };
}

function addCounters(left: FleetWork['spent'], right: FleetWork['spent']): FleetWork['spent'] {
  const sums = { ...left };
  Object.entries(right).forEach(([name, [first, second]]) => {
    const [sumFirst, sumSecond] = sums[name] ?? [0, 0];
    sums[name] = [sumFirst + first, sumSecond + second];
  });
  return sums;
}
