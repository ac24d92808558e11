import type { Backends } from '../backends/backends.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Incarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;

/** Repeats cancel calls until the engines acknowledge them. */
export class HoldReleaser {
  private readonly pending = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  private constructor(
    private readonly backends: () => Backends,
    private readonly configured: (server: string) => boolean,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a releaser without pending calls.
   *
   * @param backends - returns the clients of the engines
   * @param isConfigured - checks whether a server is still in the configuration
   * @param clock - clock used to wait between retries
   * @returns a new releaser
   */
  static create(
    backends: () => Backends,
    isConfigured: (server: string) => boolean,
    clock: Clock,
  ): HoldReleaser {
    return new HoldReleaser(backends, isConfigured, clock);
  }

  /** Number of releases that have not been acknowledged. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Releases the holds of an attempt at an engine in the background.
   *
   * @param server - the engine
   * @param attemptId - the attempt
   * @param owner - incarnation that owns the attempt
   * @param afterMs - delay before the first cancel call, in milliseconds
   */
  release(server: EngineServer, attemptId: string, owner: Incarnation, afterMs = 0): void {
    const work = this.cancelUntilAcknowledged(server, attemptId, owner, afterMs);
    this.pending.add(work);
    void work.finally(() => this.pending.delete(work));
  }

  /**
   * Waits until every release has been acknowledged.
   *
   * @param signal - abandons the remaining releases; other VMs then release the holds
   */
  async drain(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.stopping.abort(), { once: true });
    if (signal.aborted) this.stopping.abort();
    await Promise.all([...this.pending]);
  }

  private async cancelUntilAcknowledged(
    server: EngineServer,
    attemptId: string,
    owner: Incarnation,
    afterMs: number,
  ): Promise<void> {
    const { signal } = this.stopping;
    let delayMs = INITIAL_RETRY_DELAY_MS;
    if (afterMs > 0) await this.clock.sleep(afterMs, signal);
    while (!signal.aborted) {
      const outcome = await this.backends().engine(server).cancel(attemptId, owner);
      if (outcome.kind === 'ok' || !this.configured(server.name)) return;
      await this.clock.sleep(delayMs, signal);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    }
  }
}
