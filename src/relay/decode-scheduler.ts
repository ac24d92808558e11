import { Refusal } from '../domain/refusal.js';
import { MAX_MESH_SIZE } from '../fleet/hub-ranking.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import { DecodeQueue, type DecodeQueueEntry } from './decode-queue.js';
import type { RelayPool } from './relay-configuration.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';
import { pickDecodeServer } from './server-picker.js';

/** A reserved decode place. */
export interface DecodeReservation {
  readonly server: CatalogServer;
  readonly reservation: string;
  /** Takes the place off this VM's load; the reservation itself is used up or released apart. */
  readonly releaseLoad: () => void;
}

/** A request for a place. */
export interface ReservationRequest extends DecodeQueueEntry {
  readonly requestId: string;
  readonly pool: RelayPool;
  readonly excluded: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

interface Waiter extends ReservationRequest {
  readonly settle: (outcome: Outcome<DecodeReservation, Refusal>) => void;
}

/** Reservations that one VM may have on their way. */
const MAX_PENDING_RESERVATIONS = 6;

/** Pause between reservations that are tried although no room is known, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Pause between looks at the queue when nothing else happens, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Gives decode places to the requests that wait at this VM. */
export class DecodeScheduler {
  private readonly queue = DecodeQueue.create<Waiter>();

  private pendingReservations = 0;

  private timer: NodeJS.Timeout | undefined;

  /** Time of the last reservation that was sent although no room was known. */
  private lastProbeMs = -Infinity;

  private constructor(
    private readonly context: RunContext,
    private readonly clock: Clock,
  ) {}

  /**
   * Prepares a queue.
   *
   * @param context - what all runs share
   * @param clock - time
   * @returns a queue without requests
   */
  static create(context: RunContext, clock: Clock): DecodeScheduler {
    return new DecodeScheduler(context, clock);
  }

  /** Requests that wait at this VM. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Requests that wait at this VM and can still be on time. */
  get punctualWaiting(): number {
    return this.queue.punctualSize;
  }

  /**
   * Waits for a place.
   *
   * @param request - what is needed and until when
   * @returns a reserved place, or a refusal
   */
  acquire(request: ReservationRequest): Promise<Outcome<DecodeReservation, Refusal>> {
    return new Promise((resolve) => {
      let leave = () => {};
      const settle = (outcome: Outcome<DecodeReservation, Refusal>) => {
        request.signal.removeEventListener('abort', leave);
        resolve(outcome);
      };
      const waiter: Waiter = { ...request, settle };
      leave = () => {
        this.queue.remove(waiter);
        settle(fail(Refusal.create('cancelled', 'the request ended while it waited')));
      };
      request.signal.addEventListener('abort', leave, { once: true });
      const retryAfterMs = this.queue.add(waiter, this.clock.monotonicMs());
      if (retryAfterMs > 0) settle(fail(this.createOverloadRefusal(retryAfterMs)));
      else this.dispatch();
    });
  }

  /** Looks whether waiting requests can be placed; called whenever room may have come free. */
  dispatch(): void {
    const nowMs = this.clock.monotonicMs();
    this.queue
      .expire(nowMs)
      .forEach((waiter) =>
        waiter.settle(fail(this.createOverloadRefusal(this.queue.estimateWaitMs(nowMs)))),
      );
    while (this.pendingReservations < MAX_PENDING_RESERVATIONS) {
      const waiter = this.queue.next(nowMs, this.context.punctualElsewhere());
      if (!waiter) break;
      const server = this.chooseServer(waiter, nowMs);
      if (!server) break;
      this.queue.dequeue(waiter, nowMs);
      void this.reserve(waiter, server);
    }
    this.scheduleDispatch();
  }

  private async reserve(waiter: Waiter, server: CatalogServer): Promise<void> {
    const { upstream, loads, health } = this.context;
    const engine = waiter.pool.engine!;
    const releaseLoad = loads.add(server.id, { running: 1, kvTokens: waiter.kvTokens });
    this.pendingReservations += 1;
    const outcome = await upstream.reserve(server, waiter.kvTokens, engine.reservationMs);
    this.pendingReservations -= 1;
    if (outcome.kind === 'failed') {
      releaseLoad();
      const lacksRoom = outcome.failure === 'not-run';
      const { running, kvTokens } = loads.totalAt(server.id);
      this.context.decisions.record({
        requestId: waiter.requestId,
        step: 'reserve',
        choice: server.id,
        reason: outcome.failure,
        facts: { running, kvTokens, needTokens: waiter.kvTokens, waiting: this.queue.size },
      });
      health.record(server.id, lacksRoom ? 'full' : 'unreachable', this.clock.monotonicMs());
      if (!waiter.signal.aborted) this.queue.requeue(waiter, this.clock.monotonicMs());
    } else if (waiter.signal.aborted) {
      releaseLoad();
      upstream.release(server, outcome.value);
    } else {
      waiter.settle(succeed({ server, reservation: outcome.value, releaseLoad }));
    }
    this.dispatch();
  }

  private chooseServer(waiter: Waiter, nowMs: number): CatalogServer | undefined {
    const { catalog, loads, health, availabilityZone } = this.context;
    const servers = catalog
      .usable(waiter.pool.name, nowMs)
      .filter(({ stage }) => stage === 'decode' || stage === 'both');
    const newsIsOld = this.context.fleetSize() > MAX_MESH_SIZE;
    const facts = { loads, health, availabilityZone, nowMs, newsIsOld };
    const engine = waiter.pool.engine!;
    const server = pickDecodeServer(servers, waiter.excluded, waiter.kvTokens, engine, facts);
    if (server || nowMs < this.lastProbeMs + PROBE_INTERVAL_MS) return server;
    // What is known of other VMs may be out of date, so a place is asked for now and then all the same.
    this.lastProbeMs = nowMs;
    const unlimited = { slots: Infinity, kvTokens: Infinity };
    const widened = servers.map((each) => ({ ...each, slots: Infinity }));
    const probe = pickDecodeServer(widened, waiter.excluded, 0, unlimited, facts);
    return probe && servers.find(({ id }) => id === probe.id);
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
