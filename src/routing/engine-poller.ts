import type { Backends } from '../backends/backends.js';
import type { CacheEvent } from '../backends/engine.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from './routing.js';

/** Time between polls, and age of a report after which the load is polled, in milliseconds. */
export const POLL_MS = 1000;

/**
 * Most calls of a round. A call takes about 0.2 KB, and a node has 11 KB/s for control at the design
 * size, where hundreds of engines may be without a recent report.
 */
const LOADS_OF_A_ROUND = 10;
const CACHES_OF_A_ROUND = 4;

/** What the poller needs to know and where its results go. */
export interface PollTarget {
  /** Engines whose last report is older than `POLL_MS`. */
  readonly unreported: () => readonly EngineServer[];
  /** Prefill engines of the subset. */
  readonly prefillEngines: () => readonly EngineServer[];
  readonly lastSequence: (server: string) => number;
  readonly loaded: (server: string, load: EngineLoad) => void;
  readonly cached: (server: string, events: readonly CacheEvent[]) => void;
}

/** Polls loads that no answer has carried, and cache events; one call of a kind for each engine. */
export class EnginePoller {
  private readonly open = new Set<string>();

  private rounds = 0;

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
      await this.clock.sleep(POLL_MS, signal);
    }
  }

  /** Begins one round of polls. */
  poll(): void {
    const loads = takeTurn(this.target.unreported(), this.rounds, LOADS_OF_A_ROUND);
    const caches = takeTurn(this.target.prefillEngines(), this.rounds, CACHES_OF_A_ROUND);
    this.rounds += 1;
    loads.forEach((server) => {
      void this.once(`load/${server.name}`, () => this.pollLoad(server));
    });
    caches.forEach((server) => {
      void this.once(`cache/${server.name}`, () => this.pollCache(server));
    });
  }

  private async pollLoad(server: EngineServer): Promise<void> {
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
