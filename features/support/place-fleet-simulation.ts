import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { Granter } from '../../src/places/granter.js';
import { chooseGranters, findGranter } from '../../src/places/granter-ranking.js';
import { PlaceAsker, type PlaceRequest, type Verdict } from '../../src/places/place-asker.js';
import type { AskResult, PlaceAsk } from '../../src/places/place-message.js';
import { DecodeQueue } from '../../src/relay/decode-queue.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { ServerHealth } from '../../src/relay/server-health.js';
import { ServerLoads } from '../../src/relay/server-loads.js';
import { pickDecodeServer } from '../../src/relay/server-picker.js';
import { createCatalogServer } from './relay-fixtures.js';

/** Who chooses the engines: this VM from old news, or the granters. */
export type PlacePolicy = 'granted' | 'own choice';

/** Load and failures of a simulation. */
export interface PlaceLoad {
  readonly policy: PlacePolicy;
  readonly vms: number;
  readonly engines: number;
  readonly seed: number;
  /** Load in a burst from 5 s to 10 s, relative to the places. */
  readonly burst: number;
  /** Part of the datagrams that are lost, and of those delivered twice. */
  readonly lost?: number;
  readonly repeated?: number;
  /** Changes the fleet at a time. */
  readonly events?: Readonly<Record<number, (fleet: PlaceFleet) => void>>;
}

/** Requests of one rank. */
export interface RankResult {
  all: number;
  onTime: number;
  served: number;
  /** Refused before their time was over, and after it. */
  refused: number;
  held: number;
}

/** What became of the requests. */
export interface PlaceResult {
  readonly byRank: Readonly<Record<number, RankResult>>;
  readonly reservations: number;
  readonly rejected: number;
  /** Requests that no granter answered. */
  readonly unserved: number;
  /** Worst fraction of a team's requests that were on time. */
  readonly worstTeam: number;
  /** Requests on time, by second of their arrival, as fractions. */
  readonly bySecond: readonly number[];
  /** Part of the places that were in use while requests waited or were refused, at 9 s. */
  readonly used: number;
}

interface Request extends PlaceRequest {
  readonly arrivedMs: number;
  readonly holdMs: number;
}

interface Run {
  readonly vm: Vm;
  readonly server: string;
  readonly untilMs: number;
  readonly kvTokens: number;
  readonly release: () => void;
}

interface Vm {
  readonly name: string;
  readonly power: number;
  readonly sinceMs: number;
  incarnation: number;
  asker: PlaceAsker;
  granter: Granter | undefined;
  queue: DecodeQueue<Request>;
  loads: ServerLoads;
  /** Granters as this VM last ranked them. */
  ranked: { readonly names: string[]; readonly atMs: number };
  readonly health: ServerHealth;
  probeMs: number;
  /** When an engine last refused a reservation of its own choice, in milliseconds. */
  rejectedMs: number;
  frozenUntilMs: number;
  deadSinceMs: number;
  side: number;
}

const CAPACITY = { slots: 12, kvTokens: 72_000 };
const KV_TOKENS = 5300;
const HOLD_MS = 3000;
const TARGET_MS = 600;
const PATIENCE_MS = 3400;
const STEP_MS = 10;
const END_MS = 20_000;
const LAST_ARRIVAL_MS = 15_000;
/** Interval between reservations of a VM after one was refused, in milliseconds. */
const REJECTION_MS = 40;
const NEWS_MS = 500;
const NEWS_AGE_MS = 500;
const DETECTION_MS = 1500;
const VIEW_MS = 200;
const TEAMS = ['hot', 'a', 'b', 'c', 'd'];

/** Simulates VMs that need places at engines, without network; the engines are the judges. */
export class PlaceFleet {
  nowMs = 0;

  readonly vms: Vm[] = [];

  private readonly random: ReturnType<typeof xoroshiro128plus>;

  /** Source of the requests, so that they do not depend on the policy. */
  private readonly loadRandom: ReturnType<typeof xoroshiro128plus>;

  private engines: CatalogServer[];

  private runs: Run[] = [];

  private messages: { readonly atMs: number; readonly deliver: () => void }[] = [];

  private history: { readonly atMs: number; readonly loads: Map<string, number> }[] = [];

  private sequence = 0;

  private readonly counts = { reservations: 0, rejected: 0, unserved: 0 };

  private readonly byRank: Record<number, RankResult> = {};

  private readonly teams = new Map<string, { all: number; onTime: number }>();

  private readonly seconds = new Map<number, { all: number; onTime: number }>();

  private used = 0;

  private constructor(private readonly load: PlaceLoad) {
    this.random = xoroshiro128plus(load.seed + 1000);
    this.loadRandom = xoroshiro128plus(load.seed);
    this.engines = Array.from({ length: load.engines }, (_, index) =>
      createCatalogServer({ id: `engine-${index}`, slots: CAPACITY.slots, stage: 'decode' }),
    );
    for (let index = 0; index < load.vms; index += 1) this.addVm(-Infinity);
  }

  /**
   * Runs a simulation.
   *
   * @param load - load and failures
   * @returns what became of the requests
   */
  static simulate(load: PlaceLoad): PlaceResult {
    return new PlaceFleet(load).run();
  }

  /** VMs that grant places in the view of the first live VM. */
  private get granterNames(): string[] {
    const viewer = this.vms.find((vm) => this.isRunning(vm))!;
    return this.rank(viewer);
  }

  /** Adds a VM that knows nothing. */
  addVm(sinceMs = this.nowMs): void {
    const index = this.vms.length;
    const vm: Vm = {
      ...{ name: `vm-${index}`, power: index % 4 === 0 ? 1.35 : 0.4, sinceMs, incarnation: 0 },
      ...{
        probeMs: 0,
        rejectedMs: -Infinity,
        frozenUntilMs: -Infinity,
        deadSinceMs: Infinity,
        side: 0,
      },
      ...{ granter: undefined, queue: DecodeQueue.create<Request>(), loads: ServerLoads.create() },
      ...{ ranked: { names: [], atMs: -Infinity }, health: ServerHealth.create() },
      asker: PlaceAsker.create(() => this.view(vm), this.draw),
    };
    this.vms.push(vm);
  }

  /** Restarts the process of a VM; its requests end. */
  restart(vm: Vm): void {
    this.runs.filter((run) => run.vm === vm).forEach((run) => this.end(run));
    Object.assign(vm, {
      incarnation: vm.incarnation + 1,
      asker: PlaceAsker.create(() => this.view(vm), this.draw),
      ...{ granter: undefined, queue: DecodeQueue.create<Request>(), loads: ServerLoads.create() },
    });
  }

  /** Finds the VM that grants places. */
  findGranter(): Vm {
    return this.vms.find(({ name }) => name === this.granterNames[0])!;
  }

  /** Stops a VM for a time. */
  freeze(vm: Vm, ms: number): void {
    Object.assign(vm, { frozenUntilMs: this.nowMs + ms, deadSinceMs: this.nowMs });
  }

  /** Drops all messages between the first VMs and the others; 0 heals the fleet. */
  split(first: number): void {
    this.vms.forEach((vm, index) => Object.assign(vm, { side: index < first ? 1 : 0 }));
  }

  /** Removes an engine; its requests end. */
  removeEngine(): void {
    const gone = this.engines[0]!;
    this.engines = this.engines.slice(1);
    this.runs.filter(({ server }) => server === gone.id).forEach((run) => this.end(run));
  }

  private readonly drawLoad = () => uniformInt(this.loadRandom, 0, 999_999) / 1_000_000;

  private readonly draw = () => uniformInt(this.random, 0, 999_999) / 1_000_000;

  private run(): PlaceResult {
    for (; this.nowMs < END_MS; this.nowMs += STEP_MS) this.step();
    const fractions = [...this.teams.values()].map(({ all, onTime }) => onTime / all);
    const bySecond = [...this.seconds.values()].map(({ all, onTime }) => onTime / all);
    const { byRank, used } = this;
    return { ...this.counts, byRank, used, worstTeam: Math.min(...fractions), bySecond };
  }

  private step(): void {
    const { nowMs } = this;
    this.load.events?.[nowMs]?.(this);
    const due = this.messages.filter(({ atMs }) => atMs <= nowMs);
    this.messages = this.messages.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ deliver }) => deliver());
    this.runs.filter(({ untilMs }) => untilMs <= nowMs).forEach((run) => this.end(run));
    if (nowMs % NEWS_MS === 0) this.spreadNews();
    this.createArrivals();
    this.vms.forEach((vm) => this.stepVm(vm));
    if (nowMs === 9000) this.used = this.runs.length / (this.engines.length * CAPACITY.slots);
  }

  private stepVm(vm: Vm): void {
    const { nowMs } = this;
    if (!this.isRunning(vm)) return;
    if (nowMs % 40 === 0) {
      vm.asker.tick(nowMs);
      if (this.rank(vm).includes(vm.name)) vm.granter?.tick(nowMs);
      else vm.granter?.resign();
    }
    this.dispatch(vm);
    vm.asker.takeMessages(nowMs).forEach((content, granter) => {
      this.sequence += 1;
      const { name, incarnation } = vm;
      const origin = { vm: name, incarnation: String(incarnation), host: name, zone: 'sando' };
      const { sequence } = this;
      this.sendAsk(vm, granter, {
        kind: 'place-ask',
        ...origin,
        pool: 'pool',
        sequence,
        ...content,
      });
    });
    this.sendReplies(vm);
  }

  private sendAsk(vm: Vm, to: string, ask: PlaceAsk): void {
    const receiver = this.vms.find(({ name }) => name === to)!;
    this.send(vm, receiver, () => {
      const { nowMs } = this;
      if (this.rank(receiver).includes(receiver.name)) {
        receiver.granter ??= this.createGranter(receiver);
        receiver.granter.receive(ask, nowMs);
      } else {
        receiver.granter?.receive({ ...ask, asks: [] }, nowMs);
        const results = ask.asks.map(({ id }) => ({ kind: 'declined', id }) as const);
        if (results.length > 0) this.sendResults(receiver, vm.name, ask.incarnation, results);
      }
      this.sendReplies(receiver);
    });
  }

  private sendReplies(from: Vm): void {
    from.granter
      ?.takeReplies()
      .forEach(({ vm, incarnation, results }) => this.sendResults(from, vm, incarnation, results));
  }

  private sendResults(from: Vm, to: string, incarnation: string, results: AskResult[]): void {
    const receiver = this.vms.find(({ name }) => name === to)!;
    this.send(from, receiver, () => {
      if (String(receiver.incarnation) === incarnation)
        receiver.asker.receive(from.name, results, this.nowMs);
    });
  }

  private send(from: Vm, to: Vm, handle: () => void): void {
    const { lost = 0, repeated = 0 } = this.load;
    const copies = [true, this.draw() < repeated].filter((isSent) => isSent && this.draw() >= lost);
    copies.forEach((_, index) => {
      const atMs = this.nowMs + STEP_MS * (1 + index * uniformInt(this.random, 0, 5));
      const deliver = () => {
        if (this.isRunning(to) && from.side === to.side) handle();
      };
      this.messages.push({ atMs, deliver });
    });
  }

  private createGranter(vm: Vm): Granter {
    const facts = {
      servers: () => this.engines.filter(({ id }) => findGranter(id, this.rank(vm)) === vm.name),
      capacity: () => CAPACITY,
      reported: (server: string) => vm.loads.totalAt(server),
    };
    return Granter.create(facts, this.nowMs);
  }

  private createArrivals(): void {
    const { nowMs } = this;
    if (nowMs >= LAST_ARRIVAL_MS) return;
    const isBurst = nowMs >= 5000 && nowMs < 10_000;
    const places = this.load.engines * CAPACITY.slots;
    const perStep = ((isBurst ? this.load.burst : 0.7) * places * STEP_MS) / HOLD_MS;
    const count = Math.floor(perStep) + (this.drawLoad() < perStep % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) {
      const isHot = this.drawLoad() < (isBurst ? 0.6 : 0.2);
      const team = isHot ? 'hot' : TEAMS[uniformInt(this.loadRandom, 1, 4)]!;
      const priority = this.drawLoad() < 0.6 ? 0 : 2;
      const holdMs = uniformInt(this.loadRandom, HOLD_MS / 3, (5 * HOLD_MS) / 3);
      const times = { startByMs: nowMs + TARGET_MS, giveUpMs: nowMs + PATIENCE_MS };
      const more = { kvTokens: KV_TOKENS, insideRate: true, excluded: new Set<string>() };
      const running = this.vms.filter((vm) => this.isRunning(vm));
      const vm = running[uniformInt(this.loadRandom, 0, running.length - 1)]!;
      const request = { team, priority, ...times, ...more, arrivedMs: nowMs, holdMs };
      this.countAll(request);
      this.arrive(vm, request);
    }
  }

  private arrive(vm: Vm, request: Request): void {
    const { nowMs } = this;
    const { incarnation } = vm;
    const settle = (verdict: Verdict) => {
      if (vm.incarnation !== incarnation) return;
      if (verdict.kind === 'refused') this.countRefused(request);
      else if (verdict.kind === 'granted') this.useGrant(vm, request, verdict.id, verdict.server);
      else this.arriveUnserved(vm, request);
    };
    const isGranted = this.load.policy === 'granted';
    if (isGranted && vm.asker.ask(request, settle, nowMs) !== undefined) return;
    if (isGranted) this.arriveUnserved(vm, request);
    else if (vm.queue.add(request, nowMs) > 0) this.countRefused(request);
  }

  private arriveUnserved(vm: Vm, request: Request): void {
    this.counts.unserved += 1;
    if (vm.queue.add(request, this.nowMs) > 0) this.countRefused(request);
  }

  private useGrant(vm: Vm, request: Request, id: number, server: string): void {
    const run = this.reserve(vm, request, server, () => vm.asker.release(id));
    if (run) return;
    vm.asker.reject(id);
    this.arrive(vm, request);
  }

  private reserve(vm: Vm, request: Request, server: string, release: () => void): Run | undefined {
    this.counts.reservations += 1;
    const { nowMs } = this;
    const isKnown = this.engines.some(({ id }) => id === server);
    const running = this.runs.filter((run) => run.server === server).length;
    if (!isKnown || running >= CAPACITY.slots) {
      this.counts.rejected += 1;
      vm.health.record(server, 'full', nowMs);
      return undefined;
    }
    const { holdMs, kvTokens } = request;
    const removeLoad = vm.loads.add(server, { running: 1, kvTokens });
    const run: Run = {
      ...{ vm, server, untilMs: nowMs + holdMs, kvTokens },
      release: () => {
        removeLoad();
        release();
      },
    };
    this.runs.push(run);
    this.countServed(request);
    return run;
  }

  /** Serves the queue of a VM that chooses itself. */
  private dispatch(vm: Vm): void {
    const { nowMs } = this;
    vm.queue.expire(nowMs).forEach((request) => this.countRefused(request));
    if (nowMs < vm.rejectedMs + REJECTION_MS) return;
    for (let next = vm.queue.next(nowMs); next; next = vm.queue.next(nowMs)) {
      const server = this.choose(vm);
      if (!server) return;
      vm.queue.dequeue(next, nowMs);
      let id: number | undefined;
      const run = this.reserve(vm, next, server.id, () => {
        if (id !== undefined) vm.asker.release(id);
      });
      if (!run) {
        vm.queue.requeue(next, nowMs);
        Object.assign(vm, { rejectedMs: nowMs });
        return;
      }
      if (this.load.policy === 'granted') id = vm.asker.occupy(server.id, next.kvTokens);
    }
  }

  private choose(vm: Vm): CatalogServer | undefined {
    const { nowMs, engines } = this;
    const { loads, health } = vm;
    const facts = { loads, health, availabilityZone: 'sando', nowMs, newsIsOld: true };
    const known = pickDecodeServer(engines, new Set(), KV_TOKENS, CAPACITY, facts);
    if (known || nowMs < vm.probeMs) return known;
    Object.assign(vm, { probeMs: nowMs + 250 });
    return engines[uniformInt(this.random, 0, engines.length - 1)];
  }

  /** Tells each VM the loads of all others as they were NEWS_AGE_MS ago. */
  private spreadNews(): void {
    const { nowMs } = this;
    const loads = new Map<string, number>();
    this.runs.forEach(({ vm, server }) => {
      const key = `${vm.name} ${server}`;
      loads.set(key, (loads.get(key) ?? 0) + 1);
    });
    this.history.push({ atMs: nowMs, loads });
    const news = this.history.filter(({ atMs }) => atMs <= nowMs - NEWS_AGE_MS).at(-1);
    if (!news) return;
    const totals = new Map<string, number>();
    news.loads.forEach((count, key) => {
      const server = key.split(' ')[1]!;
      totals.set(server, (totals.get(server) ?? 0) + count);
    });
    this.vms.forEach((vm) => {
      const others = [...totals].map(([id, total]) => {
        const running = total - (news.loads.get(`${vm.name} ${id}`) ?? 0);
        return [id, { running, kvTokens: running * KV_TOKENS, prefillTokens: 0 }] as const;
      });
      vm.loads.update('others', new Map(others));
    });
  }

  private view(viewer: Vm) {
    const granters = this.rank(viewer);
    const owners = new Map(this.engines.map(({ id }) => [id, findGranter(id, granters)!]));
    return {
      names: granters.length === 0 ? [] : [...owners.values()],
      granterOf: (server: string) => owners.get(server) ?? findGranter(server, granters),
    };
  }

  /** Granters in the view of a VM; that another is gone is known after DETECTION_MS. */
  private rank(viewer: Vm): string[] {
    if (this.nowMs - viewer.ranked.atMs >= VIEW_MS)
      Object.assign(viewer, { ranked: { names: this.rankNow(viewer), atMs: this.nowMs } });
    return viewer.ranked.names;
  }

  private rankNow(viewer: Vm): string[] {
    const { nowMs } = this;
    const isSeen = (vm: Vm) => vm.side === viewer.side && nowMs - vm.deadSinceMs < DETECTION_MS;
    const members = this.vms.filter(
      (vm) => vm === viewer || isSeen(vm) || (this.isRunning(vm) && vm.side === viewer.side),
    );
    const candidates = members
      .filter(({ sinceMs }) => nowMs - sinceMs > 0)
      .map(({ name: vm, power }) => ({ vm, power, ready: true, draining: false }));
    return chooseGranters('pool', candidates, this.engines.length);
  }

  private isRunning({ frozenUntilMs }: Vm): boolean {
    return this.nowMs >= frozenUntilMs;
  }

  private end(run: Run): void {
    this.runs = this.runs.filter((each) => each !== run);
    run.release();
  }

  private resultOf({ priority }: Request): RankResult {
    this.byRank[priority] ??= { all: 0, onTime: 0, served: 0, refused: 0, held: 0 };
    return this.byRank[priority];
  }

  private countAll(request: Request): void {
    this.resultOf(request).all += 1;
    const second = Math.floor(request.arrivedMs / 1000);
    const team = this.teams.get(request.team) ?? { all: 0, onTime: 0 };
    const perSecond = this.seconds.get(second) ?? { all: 0, onTime: 0 };
    this.teams.set(request.team, { ...team, all: team.all + 1 });
    this.seconds.set(second, { ...perSecond, all: perSecond.all + 1 });
  }

  private countServed(request: Request): void {
    const result = this.resultOf(request);
    result.served += 1;
    if (this.nowMs > request.startByMs + 2 * STEP_MS) return;
    result.onTime += 1;
    this.teams.get(request.team)!.onTime += 1;
    this.seconds.get(Math.floor(request.arrivedMs / 1000))!.onTime += 1;
  }

  private countRefused(request: Request): void {
    const isOver = this.nowMs >= request.giveUpMs;
    this.resultOf(request)[isOver ? 'held' : 'refused'] += 1;
  }
}
