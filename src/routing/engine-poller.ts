import type { Backends } from '../backends/backends.js';
import type { CacheEvent } from '../backends/engine.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from './routing.js';

/**
 * Time between polls of one load, in milliseconds. A call takes about 0.2 KB, and a node has 11 KB/s
 * for control at the design size. A VM with few requests gets few answers, and without these polls
 * it learns of freed slots after the VMs that use them.
 */
const LOAD_POLL_INTERVAL_MS = 50;

/** Time before an engine that has not answered a poll is polled again. */
const UNRESPONSIVE_RETRY_MS = 1000;

/** Turns between two rounds for cache events; a round is a second long. */
const TICKS_PER_CACHE_ROUND = 20;

/** A VM without requests polls a load in every fifth turn only: a poll costs processor time. */
const TICKS_PER_IDLE_LOAD_POLL = 5;

const ENGINES_PER_CACHE_ROUND = 4;

/** What the poller needs to know and where its results go. */
export interface EnginePollerOptions {
  /** Tells whether this VM has had requests to route in the last seconds. */
  readonly isBusy: () => boolean;
  /** Engines whose load is wanted. */
  readonly engines: () => readonly EngineServer[];
  /** Monotonic time of an engine's last report. */
  readonly lastReportMs: (server: string) => number;
  /** Prefill engines of the subset. */
  readonly prefillEngines: () => readonly EngineServer[];
  readonly lastCacheSequence: (server: string) => number;
  readonly onLoad: (server: string, load: EngineLoad) => void;
  readonly onCacheEvents: (server: string, events: readonly CacheEvent[]) => void;
}

/** Polls the oldest load report and cache events; one call of a kind for each engine. */
export class EnginePoller {
  private readonly inFlight = new Set<string>();

  /** Monotonic time of the last load poll of each engine. */
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
   * @param backends - finds the clients
   * @param clock - time between polls
   * @param target - what to poll
   * @returns a poller that does not run yet
   */
  static create(backends: () => Backends, clock: Clock, target: EnginePollerOptions): EnginePoller {
    return new EnginePoller(backends, clock, target);
  }

  /**
   * Polls until the signal aborts.
   *
   * @param signal - ends the polling
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick();
      await this.clock.sleep(LOAD_POLL_INTERVAL_MS, signal);
    }
  }

  /** Takes one turn: polls one load and, once a second, cache events. */
  tick(): void {
    const { ticks: turns } = this;
    this.ticks += 1;
    if (turns % TICKS_PER_CACHE_ROUND === 0) this.pollCacheRound(turns / TICKS_PER_CACHE_ROUND);
    if (turns % TICKS_PER_IDLE_LOAD_POLL !== 0 && !this.options.isBusy()) return;
    const server = this.findStalestEngine();
    if (server) void this.runUnlessInFlight(`load/${server.name}`, () => this.pollLoad(server));
  }

  /** Finds the engine without a report or a poll for the longest time. */
  private findStalestEngine(): EngineServer | undefined {
    const engines = this.options.engines();
    if (this.lastPollMs.size > engines.length) this.pruneRemovedEngines(engines);
    const nowMs = this.clock.monotonicMs();
    let oldest: EngineServer | undefined;
    let oldestMs = nowMs - LOAD_POLL_INTERVAL_MS;
    for (const engine of engines) {
      const reportedMs = this.options.lastReportMs(engine.name);
      const polledMs = this.lastPollMs.get(engine.name) ?? -Infinity;
      const isSilent = polledMs > reportedMs && nowMs - polledMs < UNRESPONSIVE_RETRY_MS;
      const knownMs = Math.max(reportedMs, polledMs);
      if (isSilent || knownMs > oldestMs || (oldest && knownMs === oldestMs)) continue;
      oldest = engine;
      oldestMs = knownMs;
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

/** Selects the next few of a list, so that all have their turn when the list is long. */
function selectRoundRobin<Item>(
  items: readonly Item[],
  round: number,
  count: number,
): readonly Item[] {
  if (items.length <= count) return items;
  const start = (round * count) % items.length;
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
