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
const LOAD_POLL_MS = 50;

/** Time before an engine that has not answered a poll is polled again. */
const RETRY_MS = 1000;

/** Turns between two rounds for cache events; a round is a second long. */
const TURNS_OF_A_ROUND = 20;

/** A VM without requests polls a load in every fifth turn only: a poll costs processor time. */
const IDLE_TURNS = 5;

const CACHES_OF_A_ROUND = 4;

/** What the poller needs to know and where its results go. */
export interface PollTarget {
  /** Tells whether this VM has had requests to route in the last seconds. */
  readonly busy: () => boolean;
  /** Engines whose load is wanted. */
  readonly engines: () => readonly EngineServer[];
  /** Monotonic time of an engine's last report. */
  readonly reportedMs: (server: string) => number;
  /** Prefill engines of the subset. */
  readonly prefillEngines: () => readonly EngineServer[];
  readonly lastSequence: (server: string) => number;
  readonly loaded: (server: string, load: EngineLoad) => void;
  readonly cached: (server: string, events: readonly CacheEvent[]) => void;
}

/** Polls the oldest load report and cache events; one call of a kind for each engine. */
export class EnginePoller {
  private readonly open = new Set<string>();

  /** Monotonic time of the last load poll of each engine. */
  private readonly polledMs = new Map<string, number>();

  private turns = 0;

  private constructor(
    private readonly backends: () => Backends,
    private readonly clock: Clock,
    private readonly target: PollTarget,
  ) {}

  /**
   * Creates a poller.
   *
   * @param backends - finds the clients
   * @param clock - time between polls
   * @param target - what to poll
   * @returns a poller that does not run yet
   */
  static create(backends: () => Backends, clock: Clock, target: PollTarget): EnginePoller {
    return new EnginePoller(backends, clock, target);
  }

  /**
   * Polls until the signal aborts.
   *
   * @param signal - ends the polling
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.poll();
      await this.clock.sleep(LOAD_POLL_MS, signal);
    }
  }

  /** Takes one turn: polls one load and, once a second, cache events. */
  poll(): void {
    const { turns } = this;
    this.turns += 1;
    if (turns % TURNS_OF_A_ROUND === 0) this.pollCaches(turns / TURNS_OF_A_ROUND);
    if (turns % IDLE_TURNS !== 0 && !this.target.busy()) return;
    const server = this.findOldest();
    if (server) void this.once(`load/${server.name}`, () => this.pollLoad(server));
  }

  /** Finds the engine without a report or a poll for the longest time. */
  private findOldest(): EngineServer | undefined {
    const engines = this.target.engines();
    if (this.polledMs.size > engines.length) this.forgetRemoved(engines);
    const nowMs = this.clock.monotonicMs();
    let oldest: EngineServer | undefined;
    let oldestMs = nowMs - LOAD_POLL_MS;
    for (const engine of engines) {
      const reportedMs = this.target.reportedMs(engine.name);
      const polledMs = this.polledMs.get(engine.name) ?? -Infinity;
      const isSilent = polledMs > reportedMs && nowMs - polledMs < RETRY_MS;
      const knownMs = Math.max(reportedMs, polledMs);
      if (isSilent || knownMs > oldestMs || (oldest && knownMs === oldestMs)) continue;
      oldest = engine;
      oldestMs = knownMs;
    }
    return oldest;
  }

  private forgetRemoved(engines: readonly EngineServer[]): void {
    const names = new Set(engines.map(({ name }) => name));
    [...this.polledMs.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.polledMs.delete(name));
  }

  private pollCaches(round: number): void {
    takeTurn(this.target.prefillEngines(), round, CACHES_OF_A_ROUND).forEach((server) => {
      void this.once(`cache/${server.name}`, () => this.pollCache(server));
    });
  }

  private async pollLoad(server: EngineServer): Promise<void> {
    this.polledMs.set(server.name, this.clock.monotonicMs());
    const outcome = await this.backends().engine(server).load();
    if (outcome.kind === 'ok') this.target.loaded(server.name, outcome.value);
  }

  private async pollCache(server: EngineServer): Promise<void> {
    const after = this.target.lastSequence(server.name);
    const outcome = await this.backends().engine(server).cacheEvents(after);
    if (outcome.kind === 'ok') this.target.cached(server.name, outcome.value);
  }

  private async once(key: string, call: () => Promise<void>): Promise<void> {
    if (this.open.has(key)) return;
    this.open.add(key);
    try {
      await call();
    } finally {
      this.open.delete(key);
    }
  }
}

/** Selects the next few of a list, so that all have their turn when the list is long. */
function takeTurn<Item>(items: readonly Item[], round: number, count: number): readonly Item[] {
  if (items.length <= count) return items;
  const start = (round * count) % items.length;
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
