import type { Backends } from '../backends/backends.js';
import type { CacheEvent } from '../backends/engine.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from './routing.js';

/**
 * Interval between load polls; each tick polls at most one engine. A call transfers about 0.2 KB,
 * and the control-traffic budget of a node is 11 KB/s at the design size. A VM with few requests
 * receives few responses that carry a load report; without polls it would learn of freed slots
 * later than the VMs that take them.
 */
const LOAD_POLL_INTERVAL_MS = 50;

/** Delay before an engine that did not respond to a poll is polled again. */
const UNRESPONSIVE_RETRY_MS = 1000;

/** Ticks between two rounds of cache event polls; a round takes one second. */
const TICKS_PER_CACHE_ROUND = 20;

/** An idle VM polls a load only on every fifth tick, because polls cost processor time. */
const TICKS_PER_IDLE_LOAD_POLL = 5;

/** Engines whose cache events are polled in one round. */
const ENGINES_PER_CACHE_ROUND = 4;

/** State that the poller reads and callbacks that receive its results. */
export interface EnginePollerOptions {
  /** Returns whether this VM has routed requests within the last seconds. */
  readonly isBusy: () => boolean;
  /** Engines whose load is polled. */
  readonly engines: () => readonly EngineServer[];
  /** Monotonic time of an engine's last load report, in milliseconds. */
  readonly lastReportMs: (server: string) => number;
  /** Prefill engines of this VM's subsets, whose cache events are polled. */
  readonly prefillEngines: () => readonly EngineServer[];
  /** Sequence number of the last cache event that was applied for an engine. */
  readonly lastCacheSequence: (server: string) => number;
  readonly onLoad: (server: string, load: EngineLoad) => void;
  readonly onCacheEvents: (server: string, events: readonly CacheEvent[]) => void;
}

/**
 * Polls the engine with the oldest load report, and cache events in round robin. At most one call
 * of each kind is in flight to an engine.
 */
export class EnginePoller {
  /** Keys of the calls in flight: `load/<engine>` or `cache/<engine>`. */
  private readonly inFlight = new Set<string>();

  /** Monotonic time of the last load poll of each engine, in milliseconds. */
  private readonly lastPollMs = new Map<string, number>();

  private ticks = 0;

  private constructor(
    private readonly backends: () => Backends,
    private readonly clock: Clock,
    private readonly options: EnginePollerOptions,
  ) {}

  /**
   * Creates a poller.
   *
   * @param backends - looks up the engine clients
   * @param clock - measures time and waits between polls
   * @param options - engines to poll and callbacks for the results
   * @returns a poller that has not been started
   */
  static create(
    backends: () => Backends,
    clock: Clock,
    options: EnginePollerOptions,
  ): EnginePoller {
    return new EnginePoller(backends, clock, options);
  }

  /**
   * Polls until the signal aborts.
   *
   * @param signal - stops the polling
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick();
      await this.clock.sleep(LOAD_POLL_INTERVAL_MS, signal);
    }
  }

  /** Runs one tick: polls at most one load and, once a second, a batch of cache events. */
  tick(): void {
    const { ticks } = this;
    this.ticks += 1;
    if (ticks % TICKS_PER_CACHE_ROUND === 0) this.pollCacheRound(ticks / TICKS_PER_CACHE_ROUND);
    if (ticks % TICKS_PER_IDLE_LOAD_POLL !== 0 && !this.options.isBusy()) return;
    const server = this.findStalestEngine();
    if (server) void this.runUnlessInFlight(`load/${server.name}`, () => this.pollLoad(server));
  }

  /**
   * Finds the engine whose last report or poll is the oldest and at least one poll interval ago.
   */
  private findStalestEngine(): EngineServer | undefined {
    const engines = this.options.engines();
    if (this.lastPollMs.size > engines.length) this.pruneRemovedEngines(engines);
    const nowMs = this.clock.monotonicMs();
    let oldest: EngineServer | undefined;
    let oldestMs = nowMs - LOAD_POLL_INTERVAL_MS;
    for (const engine of engines) {
      const reportedMs = this.options.lastReportMs(engine.name);
      const polledMs = this.lastPollMs.get(engine.name) ?? -Infinity;
      const isUnresponsive = polledMs > reportedMs && nowMs - polledMs < UNRESPONSIVE_RETRY_MS;
      const contactMs = Math.max(reportedMs, polledMs);
      if (isUnresponsive || contactMs > oldestMs || (oldest && contactMs === oldestMs)) continue;
      oldest = engine;
      oldestMs = contactMs;
    }
    return oldest;
  }

  private pruneRemovedEngines(engines: readonly EngineServer[]): void {
    const names = new Set(engines.map(({ name }) => name));
    [...this.lastPollMs.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.lastPollMs.delete(name));
  }

  private pollCacheRound(round: number): void {
    selectRoundRobin(this.options.prefillEngines(), round, ENGINES_PER_CACHE_ROUND).forEach(
      (server) => {
        void this.runUnlessInFlight(`cache/${server.name}`, () => this.pollCacheEvents(server));
      },
    );
  }

  private async pollLoad(server: EngineServer): Promise<void> {
    this.lastPollMs.set(server.name, this.clock.monotonicMs());
    const outcome = await this.backends().engine(server).load();
    if (outcome.kind === 'ok') this.options.onLoad(server.name, outcome.value);
  }

  private async pollCacheEvents(server: EngineServer): Promise<void> {
    const after = this.options.lastCacheSequence(server.name);
    const outcome = await this.backends().engine(server).cacheEvents(after);
    if (outcome.kind === 'ok') this.options.onCacheEvents(server.name, outcome.value);
  }

  private async runUnlessInFlight(key: string, call: () => Promise<void>): Promise<void> {
    if (this.inFlight.has(key)) return;
    this.inFlight.add(key);
    try {
      await call();
    } finally {
      this.inFlight.delete(key);
    }
  }
}

/** Selects the next batch in round-robin order, so that every item of a long list is reached. */
function selectRoundRobin<Item>(
  items: readonly Item[],
  round: number,
  count: number,
): readonly Item[] {
  if (items.length <= count) return items;
  const start = (round * count) % items.length;
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
