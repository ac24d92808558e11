import type { EngineServer } from '../../src/domain/backend-server.js';
import type { Clock } from '../../src/kernel/clock.js';
import type { EngineLoad } from '../../src/routing/routing.js';
import type { Pool } from '../load/pool.js';
import { computeTransferMs } from '../load/upper-bound.js';
import type { Arrival } from '../load/workload.js';

const MAX_CACHED_BLOCKS = 64;

interface Job {
  readonly arrival: Arrival;
  readonly finish: (computedTokens: number) => void;
}

/**
 * In-memory engine: one prefill at a time, decode slots and KV blocks, a link, and a lagging load
 * report.
 */
export class FakeEngine {
  private readonly queue: Job[] = [];

  private readonly cachedBlocks = new Set<string>();

  private currentJob: Job | undefined;

  private slotsFree: number;

  private blocksFree: number;

  private linkFreeMs = 0;

  private lastReport: EngineLoad | undefined;

  private lastReportMs = -Infinity;

  private constructor(
    readonly server: EngineServer,
    private readonly pool: Pool,
    private readonly clock: Clock,
  ) {
    this.slotsFree = pool.slots;
    this.blocksFree = pool.kvBlocks;
  }

  /**
   * Creates an idle engine.
   *
   * @param server - configuration entry of the engine
   * @param pool - speeds and sizes
   * @param clock - source of time
   * @returns a new engine
   */
  static create(server: EngineServer, pool: Pool, clock: Clock): FakeEngine {
    return new FakeEngine(server, pool, clock);
  }

  /**
   * Reads the load that the engine reports.
   *
   * @returns a load that is at most the pool's `loadLagMs` old
   */
  readLoad(): EngineLoad {
    const nowMs = this.clock.monotonicMs();
    if (this.lastReport && nowMs - this.lastReportMs < this.pool.loadLagMs) return this.lastReport;
    this.lastReportMs = nowMs;
    this.lastReport = this.measureLoad();
    return this.lastReport;
  }

  /**
   * Reserves a decode slot and KV blocks.
   *
   * @param blocks - number of KV blocks
   * @returns false when there are too few free slots or blocks
   */
  reserve(blocks: number): boolean {
    if (this.slotsFree < 1 || this.blocksFree < blocks) return false;
    this.slotsFree -= 1;
    this.blocksFree -= blocks;
    return true;
  }

  /**
   * Releases a decode slot and KV blocks.
   *
   * @param blocks - number of KV blocks
   */
  release(blocks: number): void {
    this.slotsFree += 1;
    this.blocksFree += blocks;
  }

  /**
   * Queues a prefill and waits for its end.
   *
   * @param arrival - the request
   * @returns number of tokens computed, without cached ones
   */
  prefill(arrival: Arrival): Promise<number> {
    return new Promise((resolve) => {
      this.queue.push({ arrival, finish: resolve });
      void this.startNext();
    });
  }

  /**
   * Imports a KV cache over the link, after the imports queued before it.
   *
   * @param arrival - the request
   */
  async transfer(arrival: Arrival): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    this.linkFreeMs = Math.max(nowMs, this.linkFreeMs) + computeTransferMs(arrival, this.pool);
    await this.clock.sleep(this.linkFreeMs - nowMs);
  }

  private measureLoad(): EngineLoad {
    const { slotsFree, blocksFree, pool } = this;
    const jobs = this.currentJob ? [this.currentJob, ...this.queue] : this.queue;
    const queuedTokens = jobs.reduce(
      (sum, { arrival }) => sum + this.countUncachedTokens(arrival),
      0,
    );
    const usedShare = Math.max(
      1 - slotsFree / pool.slots,
      1 - blocksFree / pool.kvBlocks,
      Math.min(1, queuedTokens / pool.prefillTokensPerSecond),
    );
    const load = { slotsFree, blocksFree, queuedPrefillTokens: queuedTokens };
    return { ...load, level: Math.floor(usedShare * 4), draining: false, incarnation: '1' };
  }

  private async startNext(): Promise<void> {
    if (this.currentJob) return;
    const job = this.queue.shift();
    if (!job) return;
    this.currentJob = job;
    const tokens = this.countUncachedTokens(job.arrival);
    await this.clock.sleep((tokens * 1000) / this.pool.prefillTokensPerSecond);
    this.cacheBlocks(job.arrival);
    this.currentJob = undefined;
    job.finish(tokens);
    void this.startNext();
  }

  private countUncachedTokens({ promptTokens, sharedTokens, prefix }: Arrival): number {
    return promptTokens - (prefix && this.cachedBlocks.has(prefix) ? sharedTokens : 0);
  }

  private cacheBlocks({ id, prefix, promptTokens }: Arrival): void {
    const blocks = Math.floor(promptTokens / this.pool.blockTokens);
    Array.from({ length: blocks }, (_, index) =>
      index === 0 && prefix ? prefix : `${id}/${index}`,
    ).forEach((block) => {
      this.cachedBlocks.delete(block);
      this.cachedBlocks.add(block);
    });
    for (const block of this.cachedBlocks) {
      if (this.cachedBlocks.size <= MAX_CACHED_BLOCKS) return;
      this.cachedBlocks.delete(block);
    }
  }
}
