import { ServerCapacities, type CapacityChange } from '../capacity/server-capacities.js';
import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Kernel } from '../kernel/kernel.js';
import { Service } from '../kernel/service.js';
import type { Places } from '../places/places.js';
import { CountedSink, type SentAnswer } from './counted-sink.js';
import { CrashLedger } from './crash-ledger.js';
import type { DecodeScheduler } from './decode-scheduler.js';
import { GrantedScheduler } from './granted-scheduler.js';
import { PlainRun } from './plain-run.js';
import { PoolCosts } from './pool-costs.js';
import { PriorityShedding } from './priority-shedding.js';
import type { RelayConfiguration, RelayRoute, RelayTeam } from './relay-configuration.js';
import type { AnswerSink, RelayRequest } from './relay-request.js';
import type { RetryLimits } from './retry-budget.js';
import { RetryBudgets } from './retry-budgets.js';
import { pickPool, RouteTable } from './route-table.js';
import type { Job, RunResult } from './run.js';
import type { RunContext } from './run-context.js';
import { ServerCatalog, type CatalogChange, type CatalogServer } from './server-catalog.js';
import { ServerHealth, type ServerState } from './server-health.js';
import { ServerLimits, type ColdTolerance } from './server-limits.js';
import { ServerLoads } from './server-loads.js';
import { StagedRun } from './staged-run.js';
import { TeamRateLimiter, type RateTolerance } from './team-rate-limiter.js';
import type { ServerNotice } from './upstream.js';

/** Deployment settings of the relay. */
export interface RelayOptions {
  readonly availabilityZone: string;
  readonly retries: RetryLimits;
  readonly rateTolerance: RateTolerance;
  /** What cold servers may get; just what they take when undefined. */
  readonly coldTolerance?: ColdTolerance;
}

/** Retry delay for callers while no configuration is known, in milliseconds. */
const UNCONFIGURED_RETRY_MS = 1000;

/** Refusals that follow from the configuration, so that it matters how old it is. */
const CONFIGURED_REFUSALS: ReadonlySet<RefusalCode> = new Set([
  'route_unknown',
  'key_missing',
  'key_unknown',
]);

/** When a relay that stops accepts requests, as monotonic times in milliseconds. */
export interface StopSchedule {
  /** Until then every request is accepted; callers still have the address of this VM. */
  readonly acceptAllUntilMs: number;
  /** Only requests whose time is over by then are accepted later. */
  readonly endMs: number;
}

/** Retry delay for requests that a stopping VM refuses, in milliseconds. */
const DRAINING_RETRY_MS = 50;

/** Serves requests of callers: resolves route and team, charges the team, and runs the request. */
export class Relay extends Service {
  readonly catalog = ServerCatalog.create();

  readonly loads = ServerLoads.create();

  readonly health = ServerHealth.create();

  readonly capacities = ServerCapacities.create(
    {
      list: (pool, nowMs) => this.catalog.usable(pool, nowMs),
      isDown: (id, nowMs) => this.health.stateOf(id, nowMs) === 'unreachable',
    },
    (change) => this.recordCapacity(change),
  );

  readonly crashes = CrashLedger.create((...end) => this.hasEnded(...end));

  readonly limits: ServerLimits;

  readonly rateLimiter: TeamRateLimiter;

  readonly retryBudgets: RetryBudgets;

  readonly costs = PoolCosts.create();

  private readonly schedulers = new Map<string, DecodeScheduler>();

  private readonly shedding = new Map<string, PriorityShedding>();

  private table: RouteTable | undefined;

  /** Monotonic time at which the configuration came into force, in milliseconds. */
  private configuredMs = -Infinity;

  private running = 0;

  private stopSchedule: StopSchedule | undefined;

  /** Deadlines of the requests that have been admitted and are not answered yet. */
  private readonly deadlines = new Set<Deadline>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly options: RelayOptions,
    private readonly clock: Clock,
  ) {
    super();
    this.limits = ServerLimits.create({
      sharers: () => kernel.find('fleet').limitSharers,
      coldRate: (pool) => this.table?.pool(pool)?.cold,
      unreachableMs: (id) => this.health.unreachableMs(id),
      ...(options.coldTolerance ? { coldTolerance: options.coldTolerance } : {}),
    });
    this.rateLimiter = TeamRateLimiter.create(options.rateTolerance);
    this.retryBudgets = RetryBudgets.create(options.retries, clock.monotonicMs());
  }

  /**
   * Creates a relay without a configuration; it refuses requests until it has one.
   *
   * @param kernel - provides `upstream`, `decisions`, `metrics` and `fleet`
   * @param options - deployment settings
   * @param clock - source of the current time
   * @returns the relay
   */
  static create(kernel: Kernel, options: RelayOptions, clock: Clock): Relay {
    return new Relay(kernel, options, clock);
  }

  /** The active configuration, or undefined before the first. */
  get configuration(): RelayConfiguration | undefined {
    return this.table?.configuration;
  }

  /** Number of requests without a final answer. */
  get active(): number {
    return this.running;
  }

  /** Number of requests of all pools that wait for a decode slot at this VM. */
  get waiting(): number {
    return [...this.schedulers.values()].reduce((sum, { waiting }) => sum + waiting, 0);
  }

  /** Number of requests that wait for a decode slot and can still meet their target. */
  get punctualWaiting(): number {
    return [...this.schedulers.values()].reduce(
      (sum, { punctualWaiting }) => sum + punctualWaiting,
      0,
    );
  }

  /** Starts per second on decode slots at this VM. */
  get startsPerSecond(): number {
    return [...this.schedulers.values()].reduce((sum, each) => sum + each.startsPerSecond, 0);
  }

  /**
   * Counts the usable servers of each pool by health state.
   *
   * @returns counts by pool name
   */
  countServers(): Map<string, Record<ServerState, number>> {
    const nowMs = this.clock.monotonicMs();
    const pools = new Set(this.catalog.all.map(({ pool }) => pool));
    return new Map(
      [...pools].map((pool) => {
        const counts = { sound: 0, failing: 0, unreachable: 0 };
        this.catalog.usable(pool, nowMs).forEach(({ id }) => {
          counts[this.health.stateOf(id, nowMs)] += 1;
        });
        return [pool, counts];
      }),
    );
  }

  /**
   * Lists the servers of all pools that take less than others of their pool.
   *
   * @returns servers with what they take well
   */
  listSlowServers(): CapacityChange[] {
    const nowMs = this.clock.monotonicMs();
    const pools = [...new Set(this.catalog.all.map(({ pool }) => pool))];
    return pools.flatMap((pool) => this.capacities.listSlow(pool, nowMs));
  }

  /**
   * Activates a configuration unless the active one is as new or newer.
   *
   * @param configuration - an accepted configuration
   * @returns whether it was activated
   */
  configure(configuration: RelayConfiguration): boolean {
    if (this.table && configuration.version <= this.table.configuration.version) return false;
    this.table = RouteTable.create(configuration);
    this.configuredMs = this.clock.monotonicMs();
    this.capacities.configure(findPauseGoals(configuration.routes));
    this.rateLimiter.configure(configuration.teams ?? [], this.clock.monotonicMs());
    return true;
  }

  /**
   * Records what a server says of itself in an answer. The other VMs learn it from digests.
   *
   * @param server - the server as it was known when it was called
   * @param notice - what the server says
   */
  recordNotice(server: CatalogServer, { leaving, requestsPerSecond, quietMs }: ServerNotice): void {
    if (leaving) this.recordLeaving(server);
    this.recordLimit(server, requestsPerSecond);
    if (quietMs) this.recordQuiet(server, quietMs);
  }

  /**
   * Records entries of servers that have changed, which may say that the servers are cold.
   *
   * @param changes - the last change of each server
   */
  recordEntries(changes: readonly CatalogChange[]): void {
    const nowMs = this.clock.monotonicMs();
    changes.forEach(({ id, server }) => {
      const isCold = this.limits.cold.recordEntry(id, server, nowMs);
      if (!server || !isCold || !this.limits.cold.rate(server.pool)) return;
      const { coldForMs, startedAtMs } = server;
      const facts = { startedAtMs, ...(coldForMs === undefined ? {} : { coldForMs }) };
      const entry = { requestId: '', step: 'cold', choice: id, reason: 'the server is cold' };
      this.kernel.find('decisions').record({ ...entry, facts });
      this.kernel.find('metrics').increment('servers.cold');
    });
  }

  private recordQuiet(server: CatalogServer, quietMs: number): void {
    if (this.limits.recordQuiet(server, quietMs, this.clock.monotonicMs())) return;
    const reason = 'the server wants no requests of this VM for a time';
    const entry = { requestId: '', step: 'quiet', choice: server.id, reason };
    this.kernel.find('decisions').record({ ...entry, facts: { quietMs: Math.round(quietMs) } });
    this.kernel.find('metrics').increment('servers.quiet');
  }

  /**
   * Records that a server is leaving: it gets no new requests, whatever the store says of it, until it is
   * started again.
   */
  private recordLeaving({ id, startedAtMs }: CatalogServer): void {
    if (!this.catalog.recordLeaving(id, startedAtMs)) return;
    const entry = { requestId: '', step: 'leaving', choice: id, reason: 'the server said so' };
    this.kernel.find('decisions').record({ ...entry, facts: { startedAtMs } });
    this.kernel.find('metrics').increment('servers.leaving');
  }

  private recordCapacity({ server, share, slots }: CapacityChange): void {
    const reason = 'the server takes more or less than before';
    const facts = {
      pool: server.pool,
      percent: Math.round(100 * share),
      slots: Math.round(10 * slots) / 10,
      announced: server.slots,
    };
    const entry = { requestId: '', step: 'capacity', choice: server.id, reason, facts };
    this.kernel.find('decisions').record(entry);
    this.kernel.find('metrics').increment('servers.capacities');
  }

  private recordLimit(server: CatalogServer, perSecond: number | undefined): void {
    const change = this.limits.recordAnswer(server, perSecond, this.clock.monotonicMs());
    if (!change) return;
    const reason = `the server has ${change} its limit`;
    const facts = { change, ...(perSecond === undefined ? {} : { perSecond }) };
    const entry = { requestId: '', step: 'limit', choice: server.id, reason, facts };
    this.kernel.find('decisions').record(entry);
    this.kernel.find('metrics').increment('servers.limits', { change });
    if (change === 'lifted') this.dispatchWaiting();
  }

  /**
   * Begins to stop: a request is refused as not run unless it is certain to be answered before the end.
   *
   * @param schedule - until when requests are accepted
   */
  beginStop(schedule: StopSchedule): void {
    this.stopSchedule = schedule;
  }

  /** Refuses all requests from now on, and ends those in progress; callers are told what has run. */
  endRequests(): void {
    this.stopSchedule = { acceptAllUntilMs: -Infinity, endMs: -Infinity };
    this.deadlines.forEach((deadline) => deadline.expire());
  }

  /** Tries again to assign decode slots to waiting requests, after updates about servers. */
  dispatchWaiting(): void {
    this.schedulers.forEach((scheduler) => scheduler.dispatch());
  }

  /**
   * Serves a request; the promise resolves once the sink has received the final answer.
   *
   * @param request - the complete request
   * @param sink - writes the answer to the caller
   * @param disconnected - aborted when the caller disconnects
   */
  async serve(request: RelayRequest, sink: AnswerSink, disconnected: AbortSignal): Promise<void> {
    this.running += 1;
    const metrics = this.kernel.find('metrics');
    const counted = CountedSink.create(sink);
    const end = await this.route(request, counted, disconnected);
    const tookMs = Math.round(this.clock.monotonicMs() - request.arrivedMs);
    if (end.kind === 'refused' && !sink.closed) sink.refuse(end.refusal);
    const result = end.kind === 'refused' ? end.refusal.code : end.kind;
    metrics.increment('requests', { result });
    metrics.timing('request.ms', tookMs, { result: end.kind });
    this.record(request, end, tookMs, counted.sent);
    this.running -= 1;
  }

  private record(
    { requestId, path }: RelayRequest,
    end: RunResult,
    tookMs: number,
    sent: SentAnswer | undefined,
  ): void {
    const facts: Record<string, string | number | boolean> = { tookMs, path, ...sent };
    facts.version = this.table?.configuration.version ?? -1;
    if (end.kind === 'refused' && CONFIGURED_REFUSALS.has(end.refusal.code)) {
      facts.versionAgeMs = Math.round(this.clock.monotonicMs() - this.configuredMs);
    }
    if (end.kind === 'answered') facts.status = end.status;
    if (end.kind !== 'refused') facts.server = end.server;
    const choice = end.kind === 'refused' ? end.refusal.code : end.kind;
    this.kernel
      .find('decisions')
      .record({ requestId, step: 'end', choice, reason: explainEnd(end), facts });
  }

  private async route(
    request: RelayRequest,
    sink: AnswerSink,
    disconnected: AbortSignal,
  ): Promise<RunResult> {
    const { table } = this;
    if (!table) return refuse('not_ready', 'no configuration is known yet', UNCONFIGURED_RETRY_MS);
    const route = table.route(request.host, request.path);
    if (!route) return refuse('route_unknown', 'no route matches');
    const team = request.key === undefined ? undefined : table.team(request.key);
    if (table.requiresKeys && !route.open && !team) {
      const missing = request.key === undefined;
      return refuse(missing ? 'key_missing' : 'key_unknown', 'no team holds the key');
    }
    return this.admit(request, route, team, sink, disconnected);
  }

  private async admit(
    request: RelayRequest,
    route: RelayRoute,
    team: RelayTeam | undefined,
    sink: AnswerSink,
    disconnected: AbortSignal,
  ): Promise<RunResult> {
    const nowMs = this.clock.monotonicMs();
    const pool = this.table!.pool(pickPool(route, Math.random()));
    if (!pool)
      return refuse('no_server', 'the route leads to no known pool', UNCONFIGURED_RETRY_MS);
    this.retryBudgets.forPool(pool.name).recordRequest(nowMs);
    const timeoutAtMs = route.timeoutMs > 0 ? request.arrivedMs + route.timeoutMs : Infinity;
    const endByMs = Math.min(request.deadlineAtMs, timeoutAtMs);
    if (!this.accepts(endByMs, nowMs)) {
      return refuse('draining', 'this VM is stopping', DRAINING_RETRY_MS);
    }
    const { promptTokens, outputTokens } = request;
    const tokens =
      promptTokens === undefined ? (team?.plainTokens ?? 0) : promptTokens + outputTokens;
    let insideRate = true;
    if (team) {
      const decision = this.rateLimiter.admit(team.name, team, tokens, nowMs);
      if (decision.kind === 'exceeded') {
        const { level, retryAfterMs } = decision;
        const { tokensPerSecond: rate, burstTokens: burst } = team;
        const facts = {
          team: team.name,
          tokens,
          level,
          rate,
          burst,
          vms: this.kernel.find('fleet').size,
        };
        const entry = { step: 'rate', choice: 'refuse', reason: 'the team has used its tokens' };
        this.kernel.find('decisions').record({ requestId: request.requestId, ...entry, facts });
        return refuse('rate_exceeded', entry.reason, retryAfterMs);
      }
      insideRate = decision.insideRate;
    }
    const deadline = Deadline.create(endByMs - nowMs);
    const signal = AbortSignal.any([disconnected, deadline.signal]);
    const priority = team?.priority ?? route.priority;
    const serverPriority = this.table!.hasSeveralPriorities(pool.name) ? priority : undefined;
    const limits = { priority, serverPriority, insideRate, endByMs, signal };
    const job: Job = { request, route, pool, team: team?.name, ...limits, sink };
    this.deadlines.add(deadline);
    const end = await this.run(job);
    this.deadlines.delete(deadline);
    deadline.cancel();
    if (team && end.kind === 'refused' && end.refusal.run === 'not run') {
      this.rateLimiter.refund(team.name, tokens, insideRate);
    }
    return end;
  }

  /** Returns whether a request may be accepted whose time is over at a monotonic time. */
  private accepts(endByMs: number, nowMs: number): boolean {
    const { stopSchedule } = this;
    if (!stopSchedule) return true;
    return nowMs < stopSchedule.acceptAllUntilMs || endByMs <= stopSchedule.endMs;
  }

  private run(job: Job): Promise<RunResult> {
    const context = this.context();
    if (!job.pool.engine || job.route.kind !== 'stream') {
      return PlainRun.create(context, job).execute();
    }
    return StagedRun.create(context, job, this.scheduler(job.pool.name, context)).execute();
  }

  private hasEnded(
    { id, startedAtMs }: CatalogServer,
    sinceMs: number,
    isSilent: boolean,
  ): boolean {
    if (!isSilent && this.health.unreachableMs(id) >= sinceMs) return true;
    return this.catalog.find(id)?.startedAtMs !== startedAtMs;
  }

  private scheduler(pool: string, context: RunContext): DecodeScheduler {
    const known = this.schedulers.get(pool);
    if (known) return known;
    const scheduler = GrantedScheduler.create(context, this.clock, () => this.activePlaces);
    this.schedulers.set(pool, scheduler);
    return scheduler;
  }

  /** The grants of places over the fleet; undefined when each VM chooses engines itself. */
  private get activePlaces(): Places | undefined {
    if (this.kernel.find('fleet').size === 1) return undefined;
    const places = this.kernel.find('places');
    return places.isActive ? places : undefined;
  }

  private context(): RunContext {
    const { kernel, clock, catalog, loads, health, capacities, limits, crashes } = this;
    return {
      clock,
      catalog,
      loads,
      health,
      capacities,
      limits,
      crashes,
      availabilityZone: this.options.availabilityZone,
      upstream: kernel.find('upstream'),
      decisions: kernel.find('decisions'),
      metrics: kernel.find('metrics'),
      fleetSize: () => kernel.find('fleet').size,
      fleetContact: () => kernel.find('fleet').contact,
      borrow: (servers) => kernel.find('fleet').borrow(servers),
      acquireTrial: (group) => kernel.find('fleet').acquireTrial(group),
      queuesElsewhere: () => kernel.find('fleet').queuesElsewhere,
      costs: this.costs,
      retryBudget: (pool) => this.retryBudgets.forPool(pool),
      shedding: (pool) => this.sheddingOf(pool),
    };
  }

  private sheddingOf(pool: string): PriorityShedding {
    const known = this.shedding.get(pool);
    if (known) return known;
    const shedding = PriorityShedding.create();
    this.shedding.set(pool, shedding);
    return shedding;
  }
}

/** Finds the shortest pause goal of the routes to each pool. */
function findPauseGoals(routes: readonly RelayRoute[]): Map<string, number> {
  const goalsMs = new Map<string, number>();
  routes.forEach(({ pools, pauseGoalMs }) =>
    pools.forEach(({ pool }) => {
      if (pauseGoalMs > 0) goalsMs.set(pool, Math.min(pauseGoalMs, goalsMs.get(pool) ?? Infinity));
    }),
  );
  return goalsMs;
}

function explainEnd(end: RunResult): string {
  if (end.kind === 'refused') return end.refusal.message;
  return end.kind === 'cut' ? end.reason : 'served';
}

function refuse(
  code: Parameters<typeof Refusal.create>[0],
  message: string,
  retryAfterMs?: number,
): RunResult {
  return { kind: 'refused', refusal: Refusal.create(code, message, { retryAfterMs }) };
}

declare module '../kernel/service.js' {
  interface Services {
    relay: Relay;
  }
}
