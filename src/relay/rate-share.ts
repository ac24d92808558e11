/** A request that counts against the rates of a server. */
export interface RateCharge {
  /** Whether the rates still cover the request; they may have become lower since it was charged. */
  readonly mayBegin: (nowMs: number) => boolean;
  /** Records that the request is sent now; until then it counts as if it was. */
  readonly begin: (nowMs: number) => void;
  /** Takes the charge back, because the request has not been sent. */
  readonly refund: () => void;
}

/** A request that this VM may send on the share of another VM. */
export interface Loan {
  /** Monotonic time until which it may be sent, in milliseconds. */
  readonly untilMs: number;
  /** Tells the lender that the loan has been used or is not needed. */
  readonly giveBack: () => void;
}

interface Use {
  readonly weight: number;
  /** When it does not count any more, as monotonic time in milliseconds; Infinity while it waits. */
  endMs: number;
  /** Set for a request that is covered by a loan and does not count against the own share. */
  readonly loan: Loan | undefined;
}

/**
 * Part of a VM in the requests that a server may get from all VMs in any window. The times of its requests
 * are kept, so that no window has more of them than the share, wherever it begins.
 */
export class RateShare {
  private readonly uses = new Map<object, Use>();

  /** End of each loan to another VM by its id, and the requests in it. */
  private readonly lent = new Map<string, Use>();

  private loans: Loan[] = [];

  private constructor(private readonly windowMs: number) {}

  /**
   * Creates a share of which nothing is used.
   *
   * @param windowMs - length of the window, in milliseconds
   * @returns a new share
   */
  static create(windowMs: number): RateShare {
    return new RateShare(windowMs);
  }

  /** True when nothing counts any more. */
  isIdle(nowMs: number): boolean {
    this.expire(nowMs);
    return this.uses.size === 0 && this.lent.size === 0 && this.loans.length === 0;
  }

  /**
   * Returns whether a request may be charged.
   *
   * @param share - requests of this VM in a window
   * @param weight - number of calls that the request consists of
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the share, or a loan, covers it
   */
  covers(share: number, weight: number, nowMs: number): boolean {
    this.expire(nowMs);
    return this.loans.length > 0 || this.countOwn() + weight <= share;
  }

  /**
   * Charges a request. One of several calls consists of a call that is made now, and one that is made
   * at `begin`.
   *
   * @param share - requests of this VM in a window; Infinity when the request is only to be counted
   * @param weight - number of calls, 1 or 2
   * @param nowMs - monotonic time, in milliseconds
   * @returns the charge, with the loan that covers it if the share does not
   */
  charge(
    share: number,
    weight: number,
    nowMs: number,
  ): Omit<RateCharge, 'mayBegin'> & { readonly loan: Loan | undefined } {
    this.expire(nowMs);
    const loan = this.countOwn() + weight <= share ? undefined : this.loans.shift();
    if (weight > 1) this.uses.set({}, { weight: weight - 1, endMs: nowMs + this.windowMs, loan });
    const key = {};
    const use: Use = { weight: 1, endMs: Infinity, loan };
    this.uses.set(key, use);
    return {
      loan,
      begin: (sentMs) => {
        if (use.endMs === Infinity) use.endMs = sentMs + this.windowMs;
        loan?.giveBack();
      },
      refund: () => {
        this.uses.delete(key);
        loan?.giveBack();
      },
    };
  }

  /**
   * Returns whether a charged request may be sent, after the share may have become smaller.
   *
   * @param share - requests of this VM in a window
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the requests that were sent in the last window leave room for it
   */
  allowsSend(share: number, nowMs: number): boolean {
    this.expire(nowMs);
    let sent = 0;
    this.uses.forEach(({ weight, endMs, loan }) => {
      if (!loan && endMs < Infinity) sent += weight;
    });
    return sent + this.countLent() + 1 <= share;
  }

  /**
   * Lists when requests may be sent.
   *
   * @param share - requests of this VM in a window
   * @param weight - number of calls that a request consists of
   * @param nowMs - monotonic time, in milliseconds
   * @returns for each request of a window the time until it may be sent, in milliseconds
   */
  listWaits(share: number, weight: number, nowMs: number): number[] {
    this.expire(nowMs);
    const taken = [...this.uses.values(), ...this.lent.values()]
      .filter(({ loan }) => !loan)
      .flatMap((use) => Array.from({ length: use.weight }, () => use.endMs - nowMs))
      .map((leftMs) => Math.min(leftMs, this.windowMs))
      .sort((left, right) => left - right);
    const free = Math.max(0, share - taken.length);
    // When the share has become smaller, the first that expire set none free.
    const calls = [
      ...Array.from({ length: free }, () => 0),
      ...taken.slice(Math.max(0, taken.length - share)),
    ];
    const own = calls.filter((_, index) => index % weight === weight - 1);
    return [...this.loans.map(() => 0), ...own];
  }

  /**
   * Lends a request of the share that is not used.
   *
   * @param id - id of the loan
   * @param share - requests of this VM in a window
   * @param weight - number of calls that the request consists of
   * @param forMs - time for which the borrower may send it, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when all are used
   */
  lend(id: string, share: number, weight: number, forMs: number, nowMs: number): boolean {
    this.expire(nowMs);
    if (this.countOwn() + weight > share) return false;
    this.lent.set(id, { weight, endMs: nowMs + forMs + this.windowMs, loan: undefined });
    return true;
  }

  /**
   * Records that a borrower makes no calls on a loan any more; those that it made still count.
   *
   * @param id - id of the loan
   * @param nowMs - monotonic time, in milliseconds
   */
  takeBack(id: string, nowMs: number): void {
    const use = this.lent.get(id);
    if (use) use.endMs = Math.min(use.endMs, nowMs + this.windowMs);
  }

  /**
   * Adds a loan of another VM.
   *
   * @param loan - the loan
   */
  borrow(loan: Loan): void {
    this.loans.push(loan);
  }

  /** Number of loans that are not used yet. */
  countLoans(nowMs: number): number {
    this.expire(nowMs);
    return this.loans.length;
  }

  private countOwn(): number {
    let own = this.countLent();
    this.uses.forEach(({ weight, loan }) => {
      if (!loan) own += weight;
    });
    return own;
  }

  private countLent(): number {
    let lent = 0;
    this.lent.forEach(({ weight }) => {
      lent += weight;
    });
    return lent;
  }

  private expire(nowMs: number): void {
    [this.uses, this.lent].forEach((uses: Map<unknown, Use>) =>
      uses.forEach(({ endMs }, key) => {
        if (endMs <= nowMs) uses.delete(key);
      }),
    );
    if (this.loans.some(({ untilMs }) => untilMs <= nowMs))
      this.loans = this.loans.filter(({ untilMs }) => untilMs > nowMs);
  }
}
