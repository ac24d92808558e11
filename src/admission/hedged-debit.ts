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
 * Time-out for all debits of a request. It leaves 30 ms of the dispatch delay (250 ms) for sending.
 * Most requests are sent within that time; the debits of the others are renewed.
 */
const COLLECTION_TIMEOUT_MS = 220;

/** Time to wait for a home's answer before the next home is asked as well. */
const HEDGE_DELAY_MS = 40;

/** Tokens that homes granted for one request. */
export interface HedgedDebitResult {
  /** All parts of the request, including the part from the local share. */
  readonly parts: readonly DebitPart[];
  /** Number of homes on other VMs that answered. */
  readonly answeredHomes: number;
}

/** Debits one request at homes on other VMs; the next home is asked early when one is slow. */
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
   * Creates a debit without calling any home.
   *
   * @param homeClient - calls the homes
   * @param clock - source of time
   * @param request - the request that needs the tokens
   * @param funding - tokens granted by the local share
   * @returns a new debit
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
   * Asks the homes one after another, and the next one early when a home is slow. The answer of the
   * slow home is still awaited; tokens that are no longer needed when it arrives are refunded.
   *
   * @param homes - the homes, the preferred one first
   * @returns the tokens granted until the request had enough or the time-out expired
   */
  async collect(homes: readonly Member[]): Promise<HedgedDebitResult> {
    const calls: Promise<void>[] = [];
    for (const home of homes) {
      if (this.completed.signal.aborted || this.request.finished) break;
      const call = this.debitHome(home);
      calls.push(call);
      await this.waitFor(call, HEDGE_DELAY_MS);
    }
    await this.waitFor(Promise.all(calls), COLLECTION_TIMEOUT_MS);
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

  /** Waits until the calls have ended, the request has enough tokens, or the time has passed. */
  private async waitFor(calls: Promise<unknown>, ms: number): Promise<void> {
    const ended = new AbortController();
    const signal = AbortSignal.any([ended.signal, this.completed.signal]);
    await Promise.race([calls, this.clock.sleep(ms, signal)]);
    ended.abort();
  }
}
