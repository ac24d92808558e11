import type { StorePosition } from '../domain/store-position.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';

/** Fencing numbers of one era of the store; more than claims are ever lost with a rollback. */
const FENCES_PER_ERA = 1_000_000;

/** Part of a lease for which an order may be sent after its claim was asked for, and be on its way. */
const ORDER_PART = 1 / 4;

/** Leases without a claim of another VM after which this VM may give orders: those of others have arrived. */
const SETTLING_LEASES = 1 + 2 * ORDER_PART;

/**
 * Computes the fencing number of a claim. It rises also when the store has come back from an older copy and
 * gives out the same offsets again.
 *
 * @param claim - position of the claim in the store
 * @returns a number from 1
 */
export function computeFence({ era, offset }: StorePosition): number {
  return era * FENCES_PER_ERA + offset + 1;
}

/**
 * This VM's right to command, which the claims in the store decide. Every order needs a claim, which the store
 * refuses when another VM has claimed since this VM last asked, and this VM orders only when it has known of no
 * such claim for longer than the orders of another VM take. So the orders of two VMs are a lease apart,
 * whatever the VMs know of each other.
 */
export class CommandTenure {
  /** Newest claim of this VM; undefined while it may not command. */
  private claim: StorePosition | undefined;

  /** Time since which no other VM has claimed, as the store has last told, and the era of the store. */
  private alone: { readonly sinceMs: number; readonly era: number | undefined } | undefined;

  private pausedUntilMs = -Infinity;

  private constructor(
    private readonly kernel: Kernel,
    private readonly vm: string,
    private readonly leaseMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a tenure that has not begun.
   *
   * @param kernel - provides `state-store`, `logs` and `metrics`
   * @param vm - name of this VM
   * @param leaseMs - time for which a predecessor's orders may be in flight, in milliseconds
   * @param clock - source of the current time
   * @returns the tenure
   */
  static create(kernel: Kernel, vm: string, leaseMs: number, clock: Clock): CommandTenure {
    return new CommandTenure(kernel, vm, leaseMs, clock);
  }

  /** Whether this VM may claim a fencing number. */
  get isSettled(): boolean {
    if (!this.claim || !this.alone) return false;
    return this.clock.monotonicMs() >= this.alone.sinceMs + this.leaseMs * SETTLING_LEASES;
  }

  /** Begins with a claim, unless another VM has claimed a short time ago. */
  async begin(): Promise<void> {
    if (!this.claim && this.clock.monotonicMs() >= this.pausedUntilMs) await this.append();
  }

  /** Ends the tenure; another one begins with another claim. */
  end(): void {
    this.claim = undefined;
  }

  /**
   * Claims a fencing number for one order, which must be sent at once.
   *
   * @returns the number, or undefined when this VM may not send the order
   */
  async claimFence(): Promise<number | undefined> {
    if (!this.isSettled) return undefined;
    const askedMs = this.clock.monotonicMs();
    await this.append();
    const isLate = this.clock.monotonicMs() > askedMs + this.leaseMs * ORDER_PART;
    return this.claim && this.isSettled && !isLate ? computeFence(this.claim) : undefined;
  }

  private async append(): Promise<void> {
    const store = this.kernel.find('state-store');
    const outcome = await store.claimCommand(this.vm);
    const nowMs = this.clock.monotonicMs();
    this.claim = outcome.kind === 'ok' ? outcome.value : undefined;
    const reason = outcome.kind === 'ok' ? 'accepted' : outcome.failure.reason;
    const { era } = store;
    // A store that has come back from an older copy may lack the claims of others.
    if (reason === 'conflict' || (this.claim && this.alone?.era !== era))
      this.alone = { sinceMs: nowMs, era };
    if (reason === 'conflict')
      this.pausedUntilMs = nowMs + this.leaseMs * (SETTLING_LEASES + Math.random() / 2);
    this.kernel.find('metrics').increment('command.claims', { result: reason });
    const facts = { result: reason, fence: this.claim && computeFence(this.claim) };
    this.kernel.find('logs').info('command over roles claimed', { ...facts, ...this.claim });
  }
}
