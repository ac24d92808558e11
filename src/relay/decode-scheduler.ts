import { Refusal } from '../domain/refusal.js';
import { MAX_MESH_SIZE } from '../fleet/hub-ranking.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { DecodeQueue, type DecodeQueueEntry } from './decode-queue.js';
import type { RelayPool } from './relay-configuration.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';
import type { RateCharge } from './rate-share.js';
import { NO_SHARE_RETRY_MS } from './server-limits.js';
import { pickDecodeServer } from './server-picker.js';

/** A decode slot and KV memory that are reserved on an engine. */
export interface DecodeSlot {
  readonly server: CatalogServer;
  /** Id of the reservation at the engine. */
  readonly reservation: string;
  /** Removes the slot from this VM's load; the reservation itself is used or released separately. */
  readonly releaseLoad: () => void;
  /** Charge of the request to the rates of the server; refunded when it is not sent. */
  readonly limitCharge: RateCharge;
}

/** A request that needs a decode slot in a pool. */
export interface SlotRequest extends DecodeQueueEntry {
  readonly requestId: string;
  readonly pool: RelayPool;
  readonly excluded: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

interface Waiter extends SlotRequest {
  readonly settle: (outcome: Outcome<DecodeSlot, Refusal>) => void;
}

/** Limit on unanswered reservation calls of one VM. */
const MAX_PENDING_RESERVATIONS = 6;

/** Interval between reservations that are tried although no engine is known to have room, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Interval at which the queue is checked when no other event triggers it, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Reserves decode slots for the requests of a pool that wait at this VM. */
export class DecodeScheduler {
  private readonly queue: DecodeQueue<Waiter>;

  private pendingReservations = 0;

  private timer: NodeJS.Timeout | undefined;

  /** Time of the last reservation that was tried although no engine was known to have room. */
  private lastProbeMs = -Infinity;

  private constructor(
    private readonly context: RunContext,
    private readonly clock: Clock,
  ) {
    this.queue = DecodeQueue.create<Waiter>(context.queuesElsewhere);
  }

  /**
   * Creates a scheduler.
   *
   * @param context - services that all runs share
   * @param clock - source of the current time
   * @returns a scheduler with an empty queue
   */
  static create(context: RunContext, clock: Clock): DecodeScheduler {
    return new DecodeScheduler(context, clock);
  }

  /** Number of requests of the pool that wait for a decode slot at this VM. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of requests that wait at this VM and can still meet their target. */
  get punctualWaiting(): number {
    return this.queue.punctualSize;
  }

  /** Starts per second at this VM. */
  get startsPerSecond(): number {
    return this.queue.startsPerSecond(this.clock.monotonicMs());
  }

  /**
   * Waits for a decode slot.
   *
   * @param request - required memory, deadlines and priority
   * @returns a reservation, or a refusal
   */
  acquire(request: SlotRequest): Promise<Outcome<DecodeSlot, Refusal>> {
    return new Promise((resolve) => {
      let onAbort = () => {};
      const settle = (outcome: Outcome<DecodeSlot, Refusal>) => {
        request.signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      };
      const waiter: Waiter = { ...request, settle };
      onAbort = () => {
        this.queue.remove(waiter);
        settle(
          fail(Refusal.create('cancelled', 'the request ended while it waited for a decode slot')),
        );
      };
      request.signal.addEventListener('abort', onAbort, { once: true });
      const nowMs = this.clock.monotonicMs();
      if (this.estimateLimitWaitMs(waiter, nowMs) === 0) this.enqueue(waiter);
      else void this.borrowFor(waiter).then(() => this.enqueue(waiter));
    });
  }

  private enqueue(waiter: Waiter): void {
    if (waiter.signal.aborted) return;
    const nowMs = this.clock.monotonicMs();
    const limitWaitMs = this.estimateLimitWaitMs(waiter, nowMs);
    if (nowMs + limitWaitMs > waiter.giveUpMs) {
      waiter.settle(fail(this.refuseBeyondLimits(waiter, limitWaitMs)));
      return;
    }
    const retryAfterMs = this.queue.add(waiter, nowMs);
    if (retryAfterMs > 0) waiter.settle(fail(this.createOverloadRefusal(retryAfterMs)));
    else this.dispatch();
  }

  private borrowFor(waiter: Waiter): Promise<boolean> {
    return this.context.borrow(this.listServers(waiter, this.clock.monotonicMs()));
  }

  /** Assigns engines to waiting requests; called whenever capacity may have become free. */
  dispatch(): void {
    const nowMs = this.clock.monotonicMs();
    this.queue
      .expire(nowMs)
      .forEach((waiter) =>
        waiter.settle(fail(this.createOverloadRefusal(this.queue.estimateWaitMs(nowMs)))),
      );
    while (this.pendingReservations < MAX_PENDING_RESERVATIONS) {
      const waiter = this.queue.next(nowMs, this.context.queuesElsewhere().punctual > 0);
      if (!waiter) break;
      const server = this.chooseServer(waiter, nowMs);
      if (!server) {
        void this.borrowFor(waiter);
        break;
      }
      const limitCharge = this.context.limits.tryAcquire(server, nowMs);
      if (!limitCharge) break;
      this.queue.dequeue(waiter, nowMs);
      void this.reserve(waiter, server, limitCharge);
    }
    this.scheduleDispatch();
  }

  private async reserve(
    waiter: Waiter,
    server: CatalogServer,
    limitCharge: RateCharge,
  ): Promise<void> {
    const { upstream, loads, health } = this.context;
    const engine = waiter.pool.engine!;
    const releaseLoad = loads.add(server.id, { running: 1, kvTokens: waiter.kvTokens });
    this.pendingReservations += 1;
    const outcome = await upstream.reserve(server, waiter.kvTokens, engine.reservationMs);
    this.pendingReservations -= 1;
    if (outcome.kind === 'failed') {
      releaseLoad();
      limitCharge.refund();
      const isFull = outcome.failure === 'not-run';
      const { running, kvTokens } = loads.totalAt(server.id);
      this.context.decisions.record({
        requestId: waiter.requestId,
        step: 'reserve',
        choice: server.id,
        reason: outcome.failure,
        facts: { running, kvTokens, needTokens: waiter.kvTokens, waiting: this.queue.size },
      });
      health.record(server.id, isFull ? 'full' : 'unreachable', this.clock.monotonicMs());
      if (!waiter.signal.aborted) this.queue.requeue(waiter, this.clock.monotonicMs());
    } else if (waiter.signal.aborted) {
      releaseLoad();
      limitCharge.refund();
      upstream.release(server, outcome.value);
    } else {
      waiter.settle(succeed({ server, reservation: outcome.value, releaseLoad, limitCharge }));
    }
    this.dispatch();
  }

  private chooseServer(waiter: Waiter, nowMs: number): CatalogServer | undefined {
    const { loads, health, limits, availabilityZone } = this.context;
    const servers = limits.select(this.listServers(waiter, nowMs), nowMs);
    const newsIsOld = this.context.fleetSize() > MAX_MESH_SIZE;
    const facts = { loads, health, availabilityZone, nowMs, newsIsOld };
    const engine = waiter.pool.engine!;
    const server = pickDecodeServer(servers, waiter.excluded, waiter.kvTokens, engine, facts);
    if (server || nowMs < this.lastProbeMs + PROBE_INTERVAL_MS) return server;
    // The known load of other VMs may be stale, so a reservation is still tried from time to time.
    this.lastProbeMs = nowMs;
    const unlimited = { slots: Infinity, kvTokens: Infinity };
    const unlimitedServers = servers.map((each) => ({ ...each, slots: Infinity }));
    const probe = pickDecodeServer(unlimitedServers, waiter.excluded, 0, unlimited, facts);
    return probe && servers.find(({ id }) => id === probe.id);
  }

  private listServers({ pool, excluded }: SlotRequest, nowMs: number): CatalogServer[] {
    return this.context.catalog
      .usable(pool.name, nowMs)
      .filter(({ id, stage }) => (stage === 'decode' || stage === 'both') && !excluded.has(id));
  }

  /** Estimates when the limits that engines name let another request start at this VM. */
  private estimateLimitWaitMs(request: SlotRequest, nowMs: number): number {
    const servers = this.listServers(request, nowMs);
    if (servers.length === 0) return 0;
    return this.context.limits.estimateWaitMs(servers, this.queue.size + 1, nowMs);
  }

  private refuseBeyondLimits({ requestId }: SlotRequest, waitMs: number): Refusal {
    const { decisions, metrics } = this.context;
    const retryAfterMs = Number.isFinite(waitMs) ? waitMs : NO_SHARE_RETRY_MS;
    const reason = 'the rates of the engines are used up';
    const facts = { waiting: this.queue.size, retryAfterMs: Math.round(retryAfterMs) };
    decisions.record({ requestId, step: 'limit', choice: 'refuse', reason, facts });
    metrics.increment('limits.refused');
    return Refusal.create('overloaded', reason, { retryAfterMs });
  }

  private createOverloadRefusal(retryAfterMs: number): Refusal {
    return Refusal.create('overloaded', 'no decode place comes free in time', { retryAfterMs });
  }

  private scheduleDispatch(): void {
    if (this.timer || this.queue.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.dispatch();
    }, DISPATCH_INTERVAL_MS);
  }
}
