import { Refusal } from '../domain/refusal.js';
import { MAX_MESH_SIZE } from '../fleet/hub-ranking.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { DecodeQueue } from './decode-queue.js';
import { DecodeScheduler, type DecodeSlot, type SlotRequest } from './decode-scheduler.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';
import type { RateCharge } from './rate-share.js';
import { NO_SHARE_RETRY_MS } from './server-limits.js';
import { pickDecodeServer } from './server-picker.js';

interface Waiter extends SlotRequest {
  readonly settle: (outcome: Outcome<DecodeSlot, Refusal>) => void;
}

/** Limit on unanswered reservation calls of one VM. */
const MAX_PENDING_RESERVATIONS = 6;

/** Interval between reservations that are tried although no engine is known to have room, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Interval at which the queue is checked when no other event triggers it, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Chooses engines from the load data that this VM has, in the order of its own queue. */
export class LocalScheduler extends DecodeScheduler {
  private readonly queue: DecodeQueue<Waiter>;

  private pendingReservations = 0;

  private timer: NodeJS.Timeout | undefined;

  /** Time of the last reservation that was tried although no engine was known to have room. */
  private lastProbeMs = -Infinity;

  private constructor(context: RunContext, clock: Clock) {
    super(context, clock);
    this.queue = DecodeQueue.create<Waiter>(context.queuesElsewhere);
  }

  /**
   * Creates a scheduler.
   *
   * @param context - services that all runs share
   * @param clock - source of the current time
   * @returns a scheduler with an empty queue
   */
  static create(context: RunContext, clock: Clock): LocalScheduler {
    return new LocalScheduler(context, clock);
  }

  override get waiting(): number {
    return this.queue.size;
  }

  override get punctualWaiting(): number {
    return this.queue.punctualSize;
  }

  override get startsPerSecond(): number {
    return this.queue.startsPerSecond(this.clock.monotonicMs());
  }

  override acquire(request: SlotRequest): Promise<Outcome<DecodeSlot, Refusal>> {
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

  override dispatch(): void {
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
    this.pendingReservations += 1;
    const outcome = await this.reserveAt(waiter, server, limitCharge);
    this.pendingReservations -= 1;
    if (outcome.kind === 'failed') {
      if (!waiter.signal.aborted) this.queue.requeue(waiter, this.clock.monotonicMs());
    } else if (waiter.signal.aborted) this.abandon(outcome.value);
    else waiter.settle(succeed(outcome.value));
    this.dispatch();
  }

  private chooseServer(waiter: Waiter, nowMs: number): CatalogServer | undefined {
    const { loads, health, limits, capacities, availabilityZone } = this.context;
    const known = limits.select(this.listServers(waiter, nowMs), nowMs);
    const servers = capacities.adjust(known, nowMs);
    const newsIsOld = this.context.fleetSize() > MAX_MESH_SIZE;
    const facts = { loads, health, capacities, availabilityZone, nowMs, newsIsOld };
    const engine = waiter.pool.engine!;
    const server = pickDecodeServer(servers, waiter.excluded, waiter.kvTokens, engine, facts);
    const find = (id: string | undefined) => known.find((each) => each.id === id);
    if (server || nowMs < this.lastProbeMs + PROBE_INTERVAL_MS) return find(server?.id);
    // The known load of other VMs may be stale, so a reservation is still tried from time to time.
    this.lastProbeMs = nowMs;
    const unlimited = { slots: Infinity, kvTokens: Infinity };
    const unlimitedServers = servers.map((each) => ({ ...each, slots: Infinity }));
    const probe = pickDecodeServer(unlimitedServers, waiter.excluded, 0, unlimited, facts);
    return find(probe?.id);
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

  private scheduleDispatch(): void {
    if (this.timer || this.queue.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.dispatch();
    }, DISPATCH_INTERVAL_MS);
  }
}
