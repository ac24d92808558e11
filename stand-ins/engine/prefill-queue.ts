import { setTimeout as delay } from 'node:timers/promises';

import type { PrefillOrder } from './options.js';

/** A prefill that waits or runs. */
export interface PrefillJob {
  /** 0 is first. */
  readonly priority: number;
  /** Tokens to compute when it starts; cached tokens cost nothing. */
  readonly countUncachedTokens: () => number;
  readonly signal: AbortSignal;
}

interface QueuedJob extends PrefillJob {
  /** Tokens counted on arrival; counting hashes the prompt, so it is not repeated for each report. */
  readonly tokens: number;
  readonly complete: (computedTokens: number) => void;
}

/** Runs prefills one at a time, at a rate in tokens per second. */
export class PrefillQueue {
  private readonly waiting: QueuedJob[] = [];

  private current: QueuedJob | undefined;

  private constructor(
    private readonly tokensPerSecond: number,
    private readonly order: PrefillOrder,
  ) {}

  /**
   * Creates an idle queue.
   *
   * @param tokensPerSecond - rate of a prefill
   * @param order - which waiting prefill runs next
   * @returns a new queue
   */
  static create(tokensPerSecond: number, order: PrefillOrder): PrefillQueue {
    return new PrefillQueue(tokensPerSecond, order);
  }

  get running(): boolean {
    return this.current !== undefined;
  }

  /** Tokens of the prefills that wait or run. */
  get queuedTokens(): number {
    const jobs = this.current ? [this.current, ...this.waiting] : this.waiting;
    return jobs.reduce((total, job) => total + job.tokens, 0);
  }

  /**
   * Waits for its turn and computes a prefill; an abort ends it at once.
   *
   * @param job - the prefill
   * @returns the tokens that were computed, fewer than wanted after an abort
   */
  run(job: PrefillJob): Promise<number> {
    return new Promise((resolve) => {
      const queued = { ...job, tokens: job.countUncachedTokens(), complete: resolve };
      this.waiting.push(queued);
      job.signal.addEventListener('abort', () => this.removeWaiting(queued), { once: true });
      void this.startNext();
    });
  }

  private removeWaiting(job: QueuedJob): void {
    const index = this.waiting.indexOf(job);
    if (index < 0) return;
    this.waiting.splice(index, 1);
    job.complete(0);
  }

  private async startNext(): Promise<void> {
    if (this.current) return;
    const job = this.takeNext();
    if (!job) return;
    this.current = job;
    job.complete(await this.compute(job));
    this.current = undefined;
    void this.startNext();
  }

  private takeNext(): QueuedJob | undefined {
    if (this.order === 'priority') this.waiting.sort((one, other) => one.priority - other.priority);
    return this.waiting.shift();
  }

  private async compute(job: QueuedJob): Promise<number> {
    const tokens = job.countUncachedTokens();
    const startMs = performance.now();
    const { signal } = job;
    await delay((tokens * 1000) / this.tokensPerSecond, undefined, { signal }).catch(() => {});
    const computed = ((performance.now() - startMs) * this.tokensPerSecond) / 1000;
    return signal.aborted ? Math.min(tokens, Math.round(computed)) : tokens;
  }
}
