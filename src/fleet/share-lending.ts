import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { CatalogServer } from '../relay/server-catalog.js';
import { LOAN_MS, type LoanWish } from '../relay/server-limits.js';
import type { LoanMessage } from './digest.js';

/** Maximum number of VMs that are asked for one request. */
const MAX_ASKS = 6;

/** Time after which an answer to a question is not waited for any more, in milliseconds. */
const ANSWER_TIMEOUT_MS = 50;

/** Maximum number of requests of this VM for which others are asked at once. */
const MAX_BORROWERS = 8;

/** Time without questions after nobody lent anything, in milliseconds. */
const REFUSED_PAUSE_MS = 100;

interface Question {
  readonly askedMs: number;
  readonly wish: LoanWish;
  readonly lender: string;
  readonly settle: (granted: boolean) => void;
}

/** Sends a message to a VM, unless its address is not known. */
export type SendLoan = (vm: string, message: LoanMessage) => void;

/**
 * Borrows requests to servers from VMs that do not use their shares, and lends those of this VM. The lender
 * counts a loan as used from the moment of the grant; the borrower uses it for LOAN_MS from the moment at
 * which it asked, which is earlier, so that both never use it in the same window, whatever is lost or late.
 */
export class ShareLending {
  private readonly questions = new Map<string, Question>();

  private asked = 0;

  private borrowers = 0;

  private pausedUntilMs = -Infinity;

  private constructor(
    private readonly kernel: Kernel,
    private readonly self: { readonly vm: string; readonly incarnation: string },
    private readonly clock: Clock,
    private readonly send: SendLoan,
  ) {}

  /**
   * Creates an instance without loans.
   *
   * @param kernel - provides `relay`
   * @param self - name and incarnation of this VM
   * @param clock - source of time
   * @param send - sends a message to a VM
   * @returns a new instance
   */
  static create(
    kernel: Kernel,
    self: { readonly vm: string; readonly incarnation: string },
    clock: Clock,
    send: SendLoan,
  ): ShareLending {
    return new ShareLending(kernel, self, clock, send);
  }

  /**
   * Borrows a request to one of some servers if this VM may send none to any of them.
   *
   * @param servers - the servers
   * @returns whether a loan was granted; resolves at once when none is needed
   */
  async borrow(servers: readonly CatalogServer[]): Promise<boolean> {
    const nowMs = this.clock.monotonicMs();
    if (this.borrowers >= MAX_BORROWERS || nowMs < this.pausedUntilMs) return false;
    const { limits } = this.kernel.find('relay');
    const wishes = limits.listWishes(servers, nowMs);
    if (wishes.length === 0) return false;
    this.borrowers += 1;
    const isGranted = await this.askInTurn(wishes);
    this.borrowers -= 1;
    if (!isGranted) this.pausedUntilMs = this.clock.monotonicMs() + REFUSED_PAUSE_MS;
    this.kernel
      .find('metrics')
      .increment('limits.borrowed', { result: isGranted ? 'granted' : 'refused' });
    return isGranted;
  }

  /**
   * Handles a message of another VM.
   *
   * @param message - a question, or the answer to one, or the end of a loan
   */
  receive(message: LoanMessage): void {
    const { step, vm, rate, server, loan } = message;
    const nowMs = this.clock.monotonicMs();
    const { limits, catalog } = this.kernel.find('relay');
    if (step === 'ask') {
      const entry = catalog.find(server);
      // The id of a loan is that of its question, which may arrive twice.
      const isLent = entry !== undefined && limits.lend(rate, entry, `${vm} ${loan}`, nowMs);
      this.send(vm, this.compose(isLent ? 'grant' : 'refuse', rate, server, loan));
      return;
    }
    if (step === 'return') {
      limits.takeBack(rate, server, `${vm} ${loan}`, nowMs);
      return;
    }
    const question = this.questions.get(loan);
    this.questions.delete(loan);
    if (question?.lender === vm) this.finish(question, loan, step === 'grant');
    else if (step === 'grant') this.send(vm, this.compose('return', rate, server, loan));
  }

  private async askInTurn(wishes: readonly LoanWish[]): Promise<boolean> {
    for (let index = 0; index < MAX_ASKS; index += 1) {
      const wish = wishes[index % wishes.length]!;
      const lender = wish.lenders[Math.floor(index / wishes.length)];
      if (lender !== undefined && (await this.ask(wish, lender))) return true;
    }
    return false;
  }

  private ask(wish: LoanWish, lender: string): Promise<boolean> {
    this.asked += 1;
    const loan = `${this.self.incarnation}/${this.asked}`;
    return new Promise((resolve) => {
      const done = new AbortController();
      const settle = (granted: boolean) => {
        done.abort();
        resolve(granted);
      };
      this.questions.set(loan, { askedMs: this.clock.monotonicMs(), wish, lender, settle });
      void this.clock.sleep(ANSWER_TIMEOUT_MS, done.signal).then(() => {
        if (this.questions.delete(loan)) settle(false);
      });
      this.send(lender, this.compose('ask', wish.kind, wish.server, loan));
    });
  }

  private finish(
    { askedMs, wish: { kind, server }, lender, settle }: Question,
    loan: string,
    granted: boolean,
  ): void {
    let isReturned = false;
    const giveBack = () => {
      if (!isReturned) this.send(lender, this.compose('return', kind, server, loan));
      isReturned = true;
    };
    const relay = this.kernel.find('relay');
    if (granted) relay.limits.borrow(kind, server, { untilMs: askedMs + LOAN_MS, giveBack });
    settle(granted);
    if (granted) relay.dispatchWaiting();
  }

  private compose(
    step: LoanMessage['step'],
    rate: LoanMessage['rate'],
    server: string,
    loan: string,
  ): LoanMessage {
    return { kind: 'loan', vm: this.self.vm, step, rate, server, loan };
  }
}
