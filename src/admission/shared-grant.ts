import type { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import { succeed, type Outcome } from '../kernel/outcome.js';
import { Grant } from './grant.js';
import { DISPATCH_DELAY_MS } from './share-limits.js';
import type { Admitted, DebitPart } from './waiting-request.js';

/** What a grant needs from the service that created it. */
export interface GrantHooks {
  readonly clock: Clock;
  readonly leaseLive: () => boolean;
  /** Refunds unused tokens to the homes that granted the parts. */
  readonly refund: (parts: readonly DebitPart[], unusedTokens: number) => void;
  /**
   * Refunds all tokens of the parts without settling the request; used when a debit is replaced, or
   * arrives after the grant has been settled.
   */
  readonly refundAll: (parts: readonly DebitPart[]) => void;
  readonly debit: (tokens: number) => Promise<Outcome<Admitted, Refusal>>;
}

/** A grant whose tokens come from the home VMs of a team. */
export class SharedGrant extends Grant {
  private readonly parts: DebitPart[];

  private settled = false;

  private constructor(
    private admitted: Admitted,
    override readonly suspect: boolean,
    private readonly hooks: GrantHooks,
  ) {
    super();
    this.parts = [...admitted.funding.parts];
  }

  /**
   * Creates a grant.
   *
   * @param admitted - the tokens and the held slot
   * @param suspect - true when the request must run alone among suspects
   * @param hooks - callbacks of the service that created it
   * @returns a new grant
   */
  static create(admitted: Admitted, suspect: boolean, hooks: GrantHooks): SharedGrant {
    return new SharedGrant(admitted, suspect, hooks);
  }

  override get tokens(): number {
    return this.parts.reduce((sum, part) => sum + part.granted, 0);
  }

  override sendable(): boolean {
    const { startedMs, startedWallMs } = this.admitted.funding;
    const elapsedMs = this.hooks.clock.monotonicMs() - startedMs;
    // One of the clocks may have stood still while the process was suspended, so both are checked.
    // A wall clock that was set back does not prove that the debit is recent, hence the absolute
    // value.
    const wallMs = Math.abs(this.hooks.clock.wallMs() - startedWallMs);
    const recent = elapsedMs <= DISPATCH_DELAY_MS && wallMs <= DISPATCH_DELAY_MS;
    if (this.settled || !recent || !this.hooks.leaseLive()) return false;
    this.admitted.hold.release();
    return true;
  }

  override async extend(tokens: number): Promise<Outcome<void, Refusal>> {
    const outcome = await this.hooks.debit(tokens);
    if (outcome.kind === 'failed') return outcome;
    const { parts } = outcome.value.funding;
    outcome.value.hold.release();
    if (this.settled) this.hooks.refund(parts, Math.ceil(tokens));
    else this.parts.push(...parts);
    return succeed(undefined);
  }

  override async renew(): Promise<Outcome<void, Refusal>> {
    const { tokens } = this;
    this.admitted.hold.release();
    this.hooks.refundAll(this.parts.splice(0));
    const outcome = await this.hooks.debit(tokens);
    if (outcome.kind === 'failed') return outcome;
    const { funding, hold } = outcome.value;
    if (this.settled) {
      hold.release();
      this.hooks.refundAll(funding.parts);
      return succeed(undefined);
    }
    this.parts.push(...funding.parts);
    this.admitted = outcome.value;
    return succeed(undefined);
  }

  override settle(usedTokens: number): void {
    if (this.settled) return;
    this.settled = true;
    this.admitted.hold.release();
    this.hooks.refund(this.parts, Math.max(0, Math.floor(this.tokens - usedTokens)));
  }
}
