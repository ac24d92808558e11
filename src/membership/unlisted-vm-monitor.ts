import { type Incarnation, formatIncarnation } from '../domain/vm.js';
import { listMembers } from './member-state.js';
import { appendMemberRecord, type MembershipContext, repeat } from './membership-context.js';
import { chooseWitnesses } from './witness-set.js';

/** Time for which a VM must be missing from the VM list before it is removed, in milliseconds. */
export const REMOVAL_DELAY_MS = 10_000;

/** Time after which any member removes it, in case all of its witnesses have failed too, in milliseconds. */
const UNWITNESSED_REMOVAL_DELAY_MS = 2 * REMOVAL_DELAY_MS;

const CHECK_INTERVAL_MS = 1000;

/** Maximum random delay before an append, in milliseconds; most members then find the record in the log already. */
const APPEND_JITTER_MS = 2000;

/**
 * Removes members whose VM is no longer in the VM list. The list lags behind the actual VMs, so a VM
 * that it has never contained does not count as unlisted.
 */
export class UnlistedVmMonitor {
  private readonly everListed = new Set<string>();

  private readonly missingSince = new Map<string, number>();

  private constructor(private readonly context: MembershipContext) {}

  /**
   * Creates a monitor.
   *
   * @param context - provides the VM list and the log
   * @returns a monitor that does not run yet
   */
  static create(context: MembershipContext): UnlistedVmMonitor {
    return new UnlistedVmMonitor(context);
  }

  /**
   * Compares the members with the VM list until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async watch(): Promise<void> {
    await repeat(this.context, CHECK_INTERVAL_MS, () => this.check());
  }

  /**
   * Checks whether a member's VM is no longer in the VM list.
   *
   * @param member - the incarnation
   * @param minMs - minimum time for which it has been missing, in milliseconds
   * @returns true when it was listed once and has been missing for at least that time
   */
  isUnlisted(member: Incarnation, minMs = REMOVAL_DELAY_MS): boolean {
    const since = this.missingSince.get(formatIncarnation(member));
    return since !== undefined && this.context.clock.monotonicMs() - since >= minMs;
  }

  private async check(): Promise<void> {
    const { task } = this.context;
    if (!this.update() || !task.joined()) return;
    const members = listMembers(task.members());
    const self = task.self().vm;
    const unlisted = members.filter((member) => member.vm !== self && this.isUnlisted(member));
    for (const member of unlisted) {
      const witnessed = chooseWitnesses(members, member.vm).some(({ vm }) => vm === self);
      if (witnessed || this.isUnlisted(member, UNWITNESSED_REMOVAL_DELAY_MS))
        await this.remove(member);
    }
  }

  private update(): boolean {
    const listing = this.context.kernel.find('vm-list').current();
    // An empty list is a fault of the VM list, because this VM exists.
    if (!listing || listing.vms.length === 0) return false;
    const listed = new Set(listing.vms.map(({ name }) => name));
    const members = listMembers(this.context.task.members());
    const names = new Set(members.map(formatIncarnation));
    members.forEach((member) =>
      this.updateMember(formatIncarnation(member), listed.has(member.vm)),
    );
    [...this.everListed]
      .filter((name) => !names.has(name))
      .forEach((name) => this.stopTracking(name));
    return true;
  }

  private updateMember(name: string, listed: boolean): void {
    if (listed) {
      this.everListed.add(name);
      this.missingSince.delete(name);
      return;
    }
    if (!this.everListed.has(name) || this.missingSince.has(name)) return;
    this.missingSince.set(name, this.context.clock.monotonicMs());
  }

  private stopTracking(name: string): void {
    this.everListed.delete(name);
    this.missingSince.delete(name);
  }

  private async remove(member: Incarnation): Promise<void> {
    const { clock, signal, task } = this.context;
    await clock.sleep(Math.random() * APPEND_JITTER_MS, signal);
    this.update();
    if (signal.aborted || task.isRemoved(member) || !this.isUnlisted(member)) return;
    const { vm, incarnation } = member;
    await appendMemberRecord(this.context, {
      format: 1,
      kind: 'removed',
      vm,
      incarnation,
      evidence: 'unlisted',
    });
  }
}
