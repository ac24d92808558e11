import type { FleetContact, RetryBudget } from './retry-budget.js';
import type { UpstreamFailure } from './upstream.js';

/** A send that has only the prompt read, or one that runs the request. */
export type SendKind = 'prefill' | 'run';

/** Whether a send arrived at a server and was accepted there; `unsent` when it did not leave this VM. */
export type SendResult = 'accepted' | 'not accepted' | 'unsent';

/**
 * Returns what a call says about the arrival of its request; when in doubt, it arrived.
 *
 * @param failure - why the call has no answer; undefined when it has one
 * @returns the result of the send
 */
export function toSendResult(failure: UpstreamFailure | undefined): SendResult {
  if (failure === undefined) return 'accepted';
  return failure === 'unsent' ? 'unsent' : 'not accepted';
}

/**
 * Charges the sends of one request to the retry budget of its pool before they leave. Free are the first
 * send that runs the request and the first one that has its prompt read; if no server accepted the
 * latter, it takes the place of the former.
 */
export class SendCharges {
  private readonly sent: Record<SendKind, number> = { prefill: 0, run: 0 };

  private promptAccepted = false;

  /** Charged sends that have not left yet. */
  private prepaid = 0;

  private constructor(
    private readonly budget: RetryBudget,
    private readonly contact: () => FleetContact,
  ) {}

  /**
   * Creates the charges of a request that has not been sent.
   *
   * @param budget - retry budget of its pool
   * @param contact - contact with the other VMs
   * @returns a new instance
   */
  static create(budget: RetryBudget, contact: () => FleetContact): SendCharges {
    return new SendCharges(budget, contact);
  }

  /**
   * Charges several sends in advance, so that they are not begun unless all are covered.
   *
   * @param kinds - the next sends, in order
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when they are not covered
   */
  prepay(kinds: readonly SendKind[], nowMs: number): boolean {
    const missing = kinds.filter((kind) => this.isExtra(kind)).length - this.prepaid;
    if (missing <= 0) return true;
    if (!this.budget.tryAcquire(missing, this.contact(), nowMs)) return false;
    this.prepaid += missing;
    return true;
  }

  /**
   * Charges a send that is about to leave.
   *
   * @param kind - kind of the send
   * @param nowMs - monotonic time, in milliseconds
   * @returns a function that records the result of the send, or undefined when it is not covered
   */
  begin(
    kind: SendKind,
    nowMs: number,
  ): ((result: SendResult, endedMs: number) => void) | undefined {
    const isCharged = this.isExtra(kind);
    if (!this.prepay([kind], nowMs)) return undefined;
    if (isCharged) this.prepaid -= 1;
    return (result, endedMs) => {
      if (result === 'unsent') {
        if (isCharged) this.budget.refund(1, endedMs);
        return;
      }
      this.sent[kind] += 1;
      if (kind === 'prefill' && result === 'accepted') this.promptAccepted = true;
    };
  }

  /**
   * Refunds sends that were charged in advance and did not leave.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  refundUnused(nowMs: number): void {
    if (this.prepaid > 0) this.budget.refund(this.prepaid, nowMs);
    this.prepaid = 0;
  }

  private isExtra(kind: SendKind): boolean {
    const isPromptOnly = this.sent.prefill > 0 && !this.promptAccepted;
    return this.sent[kind] > 0 || (kind === 'run' && isPromptOnly);
  }
}
