import { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import type { Verdict } from '../places/place-asker.js';
import type { Places } from '../places/places.js';
import { StartRate } from '../places/start-rate.js';
import { DecodeScheduler, type DecodeSlot, type SlotRequest } from './decode-scheduler.js';
import { LocalScheduler } from './local-scheduler.js';
import type { RunContext } from './run-context.js';
import type { CatalogServer } from './server-catalog.js';

type Step = Outcome<DecodeSlot, Refusal> | 'again' | 'unserved';

/** Grants that a request tries to use before it is refused. */
const MAX_GRANTS = 5;

/** Retry delay after grants that could not be used, in milliseconds. */
const UNUSABLE_RETRY_MS = 500;

/**
 * Reserves slots at the engines that the granters of the pool name. The requests of a pool with engines
 * that are cold or have named a limit, and those that no granter answers, are left to this VM's own choice.
 */
export class GrantedScheduler extends DecodeScheduler {
  private readonly local: LocalScheduler;

  private readonly starts = StartRate.create();

  private pool: string | undefined;

  private constructor(
    context: RunContext,
    clock: Clock,
    private readonly places: () => Places | undefined,
  ) {
    super(context, clock);
    this.local = LocalScheduler.create(context, clock);
  }

  /**
   * Creates a scheduler.
   *
   * @param context - services that all runs share
   * @param clock - source of the current time
   * @param places - returns the grants of the fleet; undefined while this VM chooses itself
   * @returns a scheduler without requests
   */
  static create(
    context: RunContext,
    clock: Clock,
    places: () => Places | undefined,
  ): GrantedScheduler {
    return new GrantedScheduler(context, clock, places);
  }

  override get waiting(): number {
    return this.local.waiting + this.asked.length;
  }

  override get punctualWaiting(): number {
    const nowMs = this.clock.monotonicMs();
    const punctual = this.asked.filter(
      ({ insideRate, startByMs }) => insideRate && startByMs >= nowMs,
    );
    return this.local.punctualWaiting + punctual.length;
  }

  override get startsPerSecond(): number {
    return this.local.startsPerSecond + this.starts.measured(this.clock.monotonicMs());
  }

  override async acquire(request: SlotRequest): Promise<Outcome<DecodeSlot, Refusal>> {
    this.pool = request.pool.name;
    const places = this.places();
    if (!places) return this.local.acquire(request);
    if (this.hasRates(request)) return this.acquireLocally(request, places);
    const excluded = new Set(request.excluded);
    for (let grants = 0; grants < MAX_GRANTS; grants += 1) {
      const step = await this.tryGrant({ ...request, excluded }, places, excluded);
      if (step === 'unserved') return this.acquireLocally(request, places);
      if (step !== 'again') return step;
    }
    return fail(this.createOverloadRefusal(UNUSABLE_RETRY_MS));
  }

  override dispatch(): void {
    this.local.dispatch();
  }

  private get asked() {
    const places = this.pool === undefined ? undefined : this.places();
    return places?.askerOf(this.pool!).requests ?? [];
  }

  /** Asks for a place and reserves it; the engine decides whether there is room. */
  private async tryGrant(
    request: SlotRequest,
    places: Places,
    excluded: Set<string>,
  ): Promise<Step> {
    const { metrics, catalog } = this.context;
    const asker = places.askerOf(request.pool.name);
    const verdict = await this.ask(request, places);
    if (verdict === 'cancelled') return this.refuseCancelled();
    if (verdict.kind === 'unserved') {
      const { requestId } = request;
      const reason = `the granter ${verdict.reason === 'silent' ? 'is silent' : 'declined'}`;
      const facts = { granter: verdict.by, pool: request.pool.name };
      const entry = { requestId, step: 'place', choice: 'own', reason, facts };
      this.context.decisions.record(entry);
      metrics.increment('places.unserved', { pool: request.pool.name, reason: verdict.reason });
      return 'unserved';
    }
    if (verdict.kind === 'refused') return fail(this.createOverloadRefusal(verdict.retryAfterMs));
    const { id, by } = verdict;
    const server = catalog.find(verdict.server);
    const slot = server ? await this.reserveGranted(request, server) : fail('gone' as const);
    if (slot.kind === 'failed') {
      if (slot.failure !== 'not-run') excluded.add(verdict.server);
      metrics.increment('places.unusable', { pool: request.pool.name, reason: slot.failure });
      asker.reject(id);
      places.flush();
      return request.signal.aborted ? this.refuseCancelled() : 'again';
    }
    const tracked = this.track(slot.value, id, places, request.pool.name);
    if (request.signal.aborted) {
      this.abandon(tracked);
      return this.refuseCancelled();
    }
    this.starts.recordStart(this.clock.monotonicMs());
    return succeed({ ...tracked, granter: by });
  }

  private async reserveGranted(request: SlotRequest, server: CatalogServer) {
    const charge = this.context.limits.tryAcquire(server, this.clock.monotonicMs());
    return charge ? this.reserveAt(request, server, charge) : fail('unsent' as const);
  }

  private ask(request: SlotRequest, places: Places): Promise<Verdict | 'cancelled'> {
    const asker = places.askerOf(request.pool.name);
    const { signal } = request;
    if (signal.aborted) return Promise.resolve('cancelled');
    return new Promise((resolve) => {
      let onAbort = () => {};
      const settle = (verdict: Verdict) => {
        signal.removeEventListener('abort', onAbort);
        resolve(verdict);
      };
      const id = asker.ask(request, settle, this.clock.monotonicMs());
      if (id === undefined) {
        resolve({ kind: 'unserved', reason: 'silent', by: '' });
        return;
      }
      onAbort = () => {
        asker.cancel(id);
        places.flush();
        resolve('cancelled');
      };
      signal.addEventListener('abort', onAbort, { once: true });
      places.flush();
    });
  }

  private async acquireLocally(
    request: SlotRequest,
    places: Places,
  ): Promise<Outcome<DecodeSlot, Refusal>> {
    const outcome = await this.local.acquire(request);
    if (outcome.kind === 'failed') return outcome;
    const { name } = request.pool;
    const id = places.askerOf(name).occupy(outcome.value.server.id, request.kvTokens);
    places.flush();
    return succeed(this.track(outcome.value, id, places, name));
  }

  /** Tells the granter when the place is free again. */
  private track(slot: DecodeSlot, id: number, places: Places, pool: string): DecodeSlot {
    return {
      ...slot,
      releaseLoad: () => {
        slot.releaseLoad();
        places.askerOf(pool).release(id);
        places.flush();
      },
    };
  }

  private hasRates(request: SlotRequest): boolean {
    const nowMs = this.clock.monotonicMs();
    const { limits } = this.context;
    const servers = this.listServers(request, nowMs);
    const isLimited = servers.some((server) => limits.perSecondOf(server, nowMs) !== undefined);
    return isLimited || limits.countCold(servers, nowMs) > 0;
  }

  private refuseCancelled(): Outcome<DecodeSlot, Refusal> {
    return fail(Refusal.create('cancelled', 'the request ended while it waited for a decode slot'));
  }
}
