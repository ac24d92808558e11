import type { Backends } from '../backends/backends.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Incarnation } from '../domain/vm.js';
import type { Clock } from '../kernel/clock.js';

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;

/** Sends cancel orders until the engines acknowledge them. */
export class HoldReleaser {
  private readonly pending = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  private constructor(
    private readonly backends: () => Backends,
    private readonly configured: (server: string) => boolean,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates an empty list of orders.
   *
   * @param backends - finds the clients
   * @param configured - whether a server is still in the configuration
   * @param clock - time between tries
   * @returns a new list
   */
  static create(
    backends: () => Backends,
    configured: (server: string) => boolean,
    clock: Clock,
  ): HoldReleaser {
    return new HoldReleaser(backends, configured, clock);
  }

  /** Orders that have not been acknowledged. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Releases the holds of an attempt at an engine.
   *
   * @param server - the engine
   * @param attemptId - the attempt
   * @param owner - owner of the attempt
   * @param afterMs - time before the first order, in milliseconds
   */
  release(server: EngineServer, attemptId: string, owner: Incarnation, afterMs = 0): void {
    const work = this.cancelUntilAcknowledged(server, attemptId, owner, afterMs);
    this.pending.add(work);
    void work.finally(() => this.pending.delete(work));
  }

  /**
   * Waits until every order is acknowledged.
   *
   * @param signal - gives up the rest; other VMs then release the holds
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
