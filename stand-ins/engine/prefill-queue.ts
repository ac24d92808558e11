import { setTimeout as delay } from 'node:timers/promises';

import type { PrefillOrder } from './options.js';

/** A queued or running prefill. */
export interface PrefillJob {
  /** 0 is the highest. */
  readonly priority: number;
  /** Counts the tokens to compute at present; cached tokens need no computation. */
  readonly countUncachedTokens: () => number;
  readonly signal: AbortSignal;
}

interface QueuedJob extends PrefillJob {
  /** Counted once on arrival, because counting hashes the prompt and each load report reads it. */
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
   * @param tokensPerSecond - rate at which a prefill computes
   * @param order - order in which waiting prefills run
   * @returns a new queue
   */
  static create(tokensPerSecond: number, order: PrefillOrder): PrefillQueue {
    return new PrefillQueue(tokensPerSecond, order);
  }

  get running(): boolean {
    return this.current !== undefined;
  }

  /** Total tokens of the waiting prefills and the running one. */
  get queuedTokens(): number {
    const jobs = this.current ? [this.current, ...this.waiting] : this.waiting;
    return jobs.reduce((total, job) => total + job.tokens, 0);
  }

  /**
   * Queues a prefill and computes it in its turn; an abort ends it at once.
   *
   * @param job - the prefill
   * @returns the number of computed tokens; fewer than requested after an abort
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
