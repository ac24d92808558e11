import { setImmediate as readSockets } from 'node:timers/promises';

import { formatIncarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { ShareGrant } from './home-shares.js';

/** Time-out of one refund call. */
const REFUND_TIMEOUT_MS = 1000;

/** First back-off of a home that did not answer; it doubles with each further unanswered debit. */
const INITIAL_UNRESPONSIVE_BACKOFF_MS = 30;

/**
 * Maximum back-off of a home that does not answer. It must not apply right after the first lost
 * answer: with 500 ms at that point, requests of teams within their rates were refused on a busy
 * machine on which both homes answered late.
 */
const MAX_UNRESPONSIVE_BACKOFF_MS = 500;

/**
 * Maximum back-off of a home that granted nothing; it may receive refunds or a share at any time.
 */
const MAX_EMPTY_BACKOFF_MS = 250;

const MAX_REFUND_ATTEMPTS = 4;

/** Maximum number of stored back-offs; all are cleared when it is reached. */
const MAX_BACKOFFS = 10_000;

/** Calls team homes on other VMs, with time-outs, retries and back-off. */
export class HomeClient {
  private readonly backoffs = new Map<string, number>();

  /** Last back-off of homes that have not answered since, in milliseconds. */
  private readonly unresponsiveBackoffMs = new Map<string, number>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a client.
   *
   * @param kernel - finds `peers` and `membership`
   * @param clock - source of time
   * @returns a new client
   */
  static create(kernel: Kernel, clock: Clock): HomeClient {
    return new HomeClient(kernel, clock);
  }

  /**
   * Returns the time when a home may be asked for tokens of a team again.
   *
   * @param team - name of the team
   * @param home - the home
   * @returns monotonic time, in milliseconds; 0 when it may be asked now
   */
  backoffUntil(team: string, home: Member): number {
    const untilMs = Math.max(
      this.backoffs.get(keyOf(home)) ?? 0,
      this.backoffs.get(keyOf(home, team)) ?? 0,
    );
    return untilMs > this.clock.monotonicMs() ? untilMs : 0;
  }

  /**
   * Asks a home for tokens. A failed call is retried once with the same id. When the result stays
   * unknown, all the requested tokens are refunded, because the home may have granted them.
   *
   * @param home - the home
   * @param team - name of the team
   * @param tokens - tokens requested
   * @param debitId - identifies the debit
   * @param deadlineMs - monotonic time until which to wait, in milliseconds
   * @returns the grant, or `unanswered`
   */
  async debit(
    home: Member,
    team: string,
    tokens: number,
    debitId: string,
    deadlineMs: number,
  ): Promise<Outcome<ShareGrant, 'unanswered'>> {
    const startedMs = this.clock.monotonicMs();
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const leftMs = deadlineMs - this.clock.monotonicMs();
      if (leftMs <= 0) break;
      const grant = await this.callDebit(home, team, tokens, debitId, leftMs);
      if (grant) {
        this.unresponsiveBackoffMs.delete(keyOf(home));
        if (grant.granted === 0) this.backOffEmpty(home, team, grant.retryAfterMs);
        return succeed(grant);
      }
    }
    this.backOffUnresponsive(home, startedMs);
    this.refund(home, team, tokens, debitId);
    return fail('unanswered');
  }

  /**
   * Refunds tokens to a home in the background. The call is made up to {@link MAX_REFUND_ATTEMPTS}
   * times until it is answered.
   *
   * @param home - the home that granted them
   * @param team - name of the team
   * @param tokens - tokens not used
   * @param debitId - identifies the debit
   */
  refund(home: Member, team: string, tokens: number, debitId: string): void {
    void this.retryRefund(home, team, tokens, debitId);
  }

  private async retryRefund(
    home: Member,
    team: string,
    tokens: number,
    debitId: string,
  ): Promise<void> {
    for (let attempt = 0; attempt < MAX_REFUND_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.clock.sleep(100 * 3 ** attempt);
      const answer = await this.callWithTimeout(REFUND_TIMEOUT_MS, (signal) =>
        this.client(home).refund(
          { sender: this.sender(), team, tokens: BigInt(tokens), debitId },
          { signal, timeoutMs: REFUND_TIMEOUT_MS },
        ),
      );
      if (answer) return;
    }
  }

  private async callDebit(
    home: Member,
    team: string,
    tokens: number,
    debitId: string,
    timeoutMs: number,
  ): Promise<ShareGrant | undefined> {
    const answer = await this.callWithTimeout(timeoutMs, (signal) =>
      this.client(home).debit(
        { sender: this.sender(), team, tokens: BigInt(tokens), debitId },
        { signal },
      ),
    );
    if (!answer) return undefined;
    const granted = Math.min(tokens, Number(answer.granted));
    return { granted, retryAfterMs: answer.retryAfterMs };
  }

  /** Waits for a call. Resolves to undefined when it fails or exceeds the time-out. */
  private async callWithTimeout<Answer>(
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer | undefined> {
    const abort = new AbortController();
    const answered = new AbortController();
    // After a suspension of this process, the timer fires before the sockets are read. Reading them
    // first lets an answer that has already arrived win the race.
    const timeout = this.clock.sleep(timeoutMs, answered.signal).then(async () => {
      await readSockets();
      return undefined;
    });
    const answer = await Promise.race([call(abort.signal).catch(() => undefined), timeout]);
    answered.abort();
    if (answer === undefined) abort.abort();
    return answer;
  }

  private backOffEmpty(home: Member, team: string, retryAfterMs: number): void {
    this.setBackoff(keyOf(home, team), Math.min(retryAfterMs, MAX_EMPTY_BACKOFF_MS));
  }

  /** Unanswered calls that overlap in time extend the back-off only once. */
  private backOffUnresponsive(home: Member, startedMs: number): void {
    const key = keyOf(home);
    if ((this.backoffs.get(key) ?? 0) > startedMs) return;
    const lastMs = this.unresponsiveBackoffMs.get(key) ?? INITIAL_UNRESPONSIVE_BACKOFF_MS / 2;
    const backoffMs = Math.min(2 * lastMs, MAX_UNRESPONSIVE_BACKOFF_MS);
    if (this.unresponsiveBackoffMs.size >= MAX_BACKOFFS) this.unresponsiveBackoffMs.clear();
    this.unresponsiveBackoffMs.set(key, backoffMs);
    this.setBackoff(key, backoffMs);
  }

  private setBackoff(key: string, ms: number): void {
    if (this.backoffs.size >= MAX_BACKOFFS) this.backoffs.clear();
    this.backoffs.set(key, this.clock.monotonicMs() + ms);
  }

  private client(home: Member) {
    return this.kernel.find('peers').client(home.peers);
  }

  private sender(): { vm: string; incarnation: string } {
    const { vm, incarnation } = this.kernel.find('membership').self();
    return { vm, incarnation };
  }
}

function keyOf(home: Member, team = ''): string {
  return `${formatIncarnation(home)}/${team}`;
}
