import { randomUUID } from 'node:crypto';

import type { Clock } from '../kernel/clock.js';
import type { Member } from '../membership/membership.js';
import type { HomeClient } from './home-client.js';
import {
  type DebitPart,
  type Funding,
  sumGranted,
  type WaitingRequest,
} from './waiting-request.js';

/**
 * Longest time for all debits of a request. Most requests are sent within the 30 ms that are left of the
 * dispatch delay; the debits of the others are renewed.
 */
const COLLECTION_TIMEOUT_MS = 220;

/** Wait for a home's answer before the next home is asked as well. */
const HEDGE_DELAY_MS = 40;

/** What homes on other VMs gave for one request. */
export interface HedgedDebitResult {
  /** All parts of the request, those of the own share included. */
  readonly parts: readonly DebitPart[];
  /** Number of other homes that answered. */
  readonly answeredHomes: number;
}

/** Debits of one request at homes on other VMs. */
export class HedgedDebit {
  private readonly parts: DebitPart[];

  private readonly completed = new AbortController();

  private answeredHomes = 0;

  private constructor(
    private readonly homeClient: HomeClient,
    private readonly clock: Clock,
    private readonly request: WaitingRequest,
    private readonly funding: Funding,
  ) {
    this.parts = [...funding.parts];
  }

  /**
   * Creates debits that have not been asked for.
   *
   * @param homeClient - calls the homes
   * @param clock - source of time
   * @param request - the request to fund
   * @param funding - what the own share gave
   * @returns new debits
   */
  static create(
    homeClient: HomeClient,
    clock: Clock,
    request: WaitingRequest,
    funding: Funding,
  ): HedgedDebit {
    return new HedgedDebit(homeClient, clock, request, funding);
  }

  /**
   * Asks homes one after another, and the next one early when a home is slow. The slow answer is
   * still waited for; a grant that is no longer needed goes back.
   *
   * @param homes - the homes, the preferred one first
   * @returns what they gave until the request was funded or the time was over
   */
  async collect(homes: readonly Member[]): Promise<HedgedDebitResult> {
    const asked: Promise<void>[] = [];
    for (const home of homes) {
      if (this.completed.signal.aborted || this.request.finished) break;
      const asking = this.debitHome(home);
      asked.push(asking);
      await this.waitFor(asking, HEDGE_DELAY_MS);
    }
    await this.waitFor(Promise.all(asked), COLLECTION_TIMEOUT_MS);
    this.completed.abort();
    return { parts: this.parts, answeredHomes: this.answeredHomes };
  }

  private async debitHome(home: Member): Promise<void> {
    const { team } = this.request;
    const debitId = randomUUID();
    const deadlineMs = this.funding.startedMs + COLLECTION_TIMEOUT_MS;
    const outcome = await this.homeClient.debit(home, team, this.missing(), debitId, deadlineMs);
    if (outcome.kind === 'failed') return;
    const { granted } = outcome.value;
    if (this.completed.signal.aborted) {
      if (granted > 0) this.homeClient.refund(home, team, granted, debitId);
      return;
    }
    this.answeredHomes += 1;
    if (granted > 0) this.parts.push({ home, debitId, granted });
    if (this.missing() <= 0) this.completed.abort();
  }

  private missing(): number {
    return this.request.cost - sumGranted(this.parts);
  }

  /** Waits until a call has ended, the request is funded or the time is over. */
  private async waitFor(calls: Promise<unknown>, ms: number): Promise<void> {
    const ended = new AbortController();
    const signal = AbortSignal.any([ended.signal, this.completed.signal]);
    await Promise.race([calls, this.clock.sleep(ms, signal)]);
    ended.abort();
  }
}
