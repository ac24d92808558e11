import { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { DecodeQueueEntry } from './decode-queue.js';
import type { RelayPool } from './relay-configuration.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';
import type { RateCharge } from './rate-share.js';
import type { UpstreamFailure } from './upstream.js';

/** A decode slot and KV memory that are reserved on an engine. */
export interface DecodeSlot {
  readonly server: CatalogServer;
  /** Id of the reservation at the engine. */
  readonly reservation: string;
  /** Removes the slot from this VM's load; the reservation itself is used or released separately. */
  readonly releaseLoad: () => void;
  /** Charge of the request to the rates of the server; refunded when it is not sent. */
  readonly limitCharge: RateCharge;
  /** Name of the VM that granted it; undefined when this VM chose the engine itself. */
  readonly granter?: string;
}

/** A request that needs a decode slot in a pool. */
export interface SlotRequest extends DecodeQueueEntry {
  readonly requestId: string;
  readonly pool: RelayPool;
  readonly excluded: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Reserves decode slots for the requests of a pool that wait at this VM. */
export abstract class DecodeScheduler {
  protected constructor(
    protected readonly context: RunContext,
    protected readonly clock: Clock,
  ) {}

  /** Number of requests of the pool that wait for a decode slot at this VM. */
  abstract get waiting(): number;

  /** Number of requests that wait at this VM and can still meet their target. */
  abstract get punctualWaiting(): number;

  /** Starts per second at this VM. */
  abstract get startsPerSecond(): number;

  /**
   * Waits for a decode slot.
   *
   * @param request - required memory, deadlines and priority
   * @returns a reservation, or a refusal
   */
  abstract acquire(request: SlotRequest): Promise<Outcome<DecodeSlot, Refusal>>;

  /** Assigns engines to waiting requests; called whenever capacity may have become free. */
  abstract dispatch(): void;

  /**
   * Reserves a slot on an engine and adds it to this VM's load.
   *
   * @param request - required memory
   * @param server - the engine
   * @param limitCharge - charge to the rates of the engine; refunded when the reservation fails
   * @returns the slot, or why there is none
   */
  protected async reserveAt(
    request: SlotRequest,
    server: CatalogServer,
    limitCharge: RateCharge,
  ): Promise<Outcome<DecodeSlot, UpstreamFailure>> {
    const { upstream, loads, health, decisions } = this.context;
    const { kvTokens, requestId, pool } = request;
    const releaseLoad = loads.add(server.id, { running: 1, kvTokens });
    const outcome = await upstream.reserve(server, kvTokens, pool.engine!.reservationMs);
    if (outcome.kind === 'ok')
      return succeed({ server, reservation: outcome.value, releaseLoad, limitCharge });
    releaseLoad();
    limitCharge.refund();
    const { failure } = outcome;
    const { running, kvTokens: usedTokens } = loads.totalAt(server.id);
    const facts = {
      running,
      kvTokens: usedTokens,
      needTokens: kvTokens,
      waiting: this.waiting,
    };
    decisions.record({ requestId, step: 'reserve', choice: server.id, reason: failure, facts });
    const evidence = failure === 'not-run' ? 'full' : 'unreachable';
    health.record(server.id, evidence, this.clock.monotonicMs());
    return fail(failure);
  }

  /** Gives back a slot that is not going to be used. */
  protected abandon({ server, reservation, releaseLoad, limitCharge }: DecodeSlot): void {
    releaseLoad();
    limitCharge.refund();
    this.context.upstream.release(server, reservation);
  }

  protected createOverloadRefusal(retryAfterMs: number): Refusal {
    return Refusal.create('overloaded', 'no decode place comes free in time', { retryAfterMs });
  }

  /** Lists the engines of the pool that the request may use. */
  protected listServers({ pool, excluded }: SlotRequest, nowMs: number): CatalogServer[] {
    return this.context.catalog
      .usable(pool.name, nowMs)
      .filter(({ id, stage }) => (stage === 'decode' || stage === 'both') && !excluded.has(id));
  }
}
