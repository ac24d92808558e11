import type { Grant } from '../../src/admission/grant.js';
import type { EngineServer } from '../../src/domain/backend-server.js';
import type { ModelRequest } from '../../src/domain/request.js';
import type { Clock } from '../../src/kernel/clock.js';
import type { RequestResult } from '../load/measures.js';
import { POOL, TARGETS } from '../load/pool.js';
import { writePrompt, type Arrival } from '../load/workload.js';
import type { FakeEngine } from './fake-engine.js';
import { MODEL, type ModuleVm } from './module-vm.js';
import type { Policy } from './policies.js';
import type { ServerChooser } from './server-chooser.js';

const CALL_LATENCY_MS = 1;
const RETRY_INTERVAL_MS = 10;
const MAX_ROUNDS = 3;

/** Context that all requests of one VM share. */
export interface VmContext {
  readonly policy: Policy;
  readonly vm: ModuleVm;
  readonly chooser: ServerChooser;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly clock: Clock;
  readonly seed: number;
  readonly queueMs: number;
  /**
   * Waits for the request's turn at admission; returns a function that passes the turn to the next
   * request.
   */
  readonly acquireTurn: () => Promise<() => void>;
  readonly countPrefill: (tokens: number, wasted: boolean) => void;
}

/** Runs one request through the same phases in the same order as the daemon; servers never fail. */
export class ModuleRun {
  private readonly cancel = new AbortController();

  private readonly request: ModelRequest;

  private readonly blocks: number;

  private decodeEngine: FakeEngine | undefined;

  private grant: Grant | undefined;

  private constructor(
    private readonly context: VmContext,
    private readonly arrival: Arrival,
  ) {
    const { id, team, promptTokens, outputTokens } = arrival;
    const name = `request-${id}`;
    this.blocks = Math.ceil((promptTokens + outputTokens) / POOL.blockTokens);
    this.request = {
      ...{ requestId: name, team, keyId: undefined, model: MODEL, fingerprint: name },
      ...{ prompt: writePrompt(arrival, context.seed), promptTokens, maxTokens: outputTokens },
      ...{ arrivedMs: context.clock.monotonicMs(), traceparent: undefined },
    };
  }

  /**
   * Runs a request.
   *
   * @param context - context of the VM
   * @param arrival - the request
   * @returns outcome of the request
   */
  static async run(context: VmContext, arrival: Arrival): Promise<RequestResult> {
    return new ModuleRun(context, arrival).execute();
  }

  private async execute(): Promise<RequestResult> {
    const { clock } = this.context;
    const { cancelAfterMs } = this.arrival;
    if (cancelAfterMs !== undefined) {
      void clock.sleep(cancelAfterMs).then(() => this.cancel.abort());
    }
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const code = await this.runRound();
      if (code !== 'again') return this.finish(code);
    }
    return this.finish('overloaded');
  }

  /** Runs all phases from admission on; returns the code of a refusal, or undefined on success. */
  private async runRound(): Promise<string | undefined> {
    const refused = await this.admit();
    if (refused) return refused;
    const { policy } = this.context;
    if (policy.reservesBeforePrefill && !(await this.reserve(this.deadlineMs())))
      return 'overloaded';
    if (this.cancel.signal.aborted) return 'cancelled';
    if (policy.refusesEarly && this.isLate()) return 'overloaded';
    if (!this.grant?.sendable()) {
      this.release();
      return 'again';
    }
    const computed = await this.prefill();
    const expiresMs = this.context.clock.monotonicMs() + POOL.prefillResultMs;
    const isReserved = policy.reservesBeforePrefill || (await this.reserve(expiresMs));
    const wasted = !isReserved || this.cancel.signal.aborted;
    this.context.countPrefill(computed, wasted);
    if (wasted) return isReserved ? 'cancelled' : 'server_failed';
    return this.decode();
  }

  private async admit(): Promise<string | undefined> {
    const { vm, acquireTurn } = this.context;
    const releaseTurn = await acquireTurn();
    const { requestId, team, model, promptTokens, maxTokens, fingerprint, arrivedMs } =
      this.request;
    const outcome = await vm.admission.admit({
      ...{ requestId, team, model, promptTokens, maxTokens, fingerprint, arrivedMs },
      signal: this.cancel.signal,
    });
    releaseTurn();
    if (outcome.kind === 'failed') return outcome.failure.code;
    this.grant = outcome.value;
    return undefined;
  }

  private async reserve(untilMs: number): Promise<boolean> {
    const { clock } = this.context;
    const excluded = new Set<string>();
    for (;;) {
      if (this.cancel.signal.aborted) return false;
      const server = this.choose('decode', excluded);
      if (server && (await this.tryReserve(server))) return true;
      if (server) excluded.add(server.name);
      if (clock.monotonicMs() >= untilMs) return false;
      if (server) continue;
      excluded.clear();
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  private async tryReserve(server: EngineServer): Promise<boolean> {
    const { engines, clock, vm } = this.context;
    const engine = engines.get(server.name);
    this.assign(server, 'decode');
    await clock.sleep(CALL_LATENCY_MS);
    const isReserved = engine?.reserve(this.blocks) ?? false;
    if (engine) vm.observe(engine);
    if (isReserved) this.decodeEngine = engine;
    else vm.routing.unassign(this.request.requestId, server.name, 'decode');
    return isReserved;
  }

  private async prefill(): Promise<number> {
    const { engines, clock, vm } = this.context;
    const server = this.choose('prefill', new Set());
    const engine = server && engines.get(server.name);
    if (!engine) throw new Error('no prefill engine can be chosen');
    this.assign(server, 'prefill');
    await clock.sleep(CALL_LATENCY_MS);
    const computed = await engine.prefill(this.arrival);
    vm.observe(engine);
    vm.routing.observePrefill(this.request.requestId, server.name, computed);
    vm.routing.unassign(this.request.requestId, server.name, 'prefill');
    return computed;
  }

  private async decode(): Promise<undefined> {
    const { clock, vm } = this.context;
    const engine = this.decodeEngine;
    if (!engine) throw new Error('no decode engine is reserved');
    await clock.sleep(CALL_LATENCY_MS);
    await engine.transfer(this.arrival);
    vm.observe(engine);
    await clock.sleep(CALL_LATENCY_MS + POOL.tokenMs);
    this.firstTokenMs = clock.monotonicMs() - this.request.arrivedMs;
    await clock.sleep((this.arrival.outputTokens - 1) * POOL.tokenMs, this.cancel.signal);
    return undefined;
  }

  private firstTokenMs: number | undefined;

  private choose(
    phase: 'prefill' | 'decode',
    excluded: ReadonlySet<string>,
  ): EngineServer | undefined {
    const { chooser, policy } = this.context;
    const blocks = policy.countsBlocks ? this.blocks : 0;
    return chooser.choose(phase, this.request, this.arrival, excluded, blocks);
  }

  private assign(server: EngineServer, phase: 'prefill' | 'decode'): void {
    const { policy, vm } = this.context;
    if (!policy.countsOwnDispatches) return;
    vm.routing.assign({
      ...{ server: server.name, attemptId: this.request.requestId, phase, suspect: false },
      ...{ fingerprint: this.request.fingerprint, promptTokens: this.request.promptTokens },
      blocks: policy.countsBlocks ? this.blocks : 0,
    });
  }

  private isLate(): boolean {
    const waitMs = this.context.vm.routing.prefillWaitMs(MODEL);
    return this.context.clock.monotonicMs() + waitMs > this.deadlineMs();
  }

  private deadlineMs(): number {
    return this.request.arrivedMs + Math.max(TARGETS.firstTokenMs, this.context.queueMs);
  }

  private release(): void {
    const { vm } = this.context;
    const engine = this.decodeEngine;
    engine?.release(this.blocks);
    if (engine) vm.routing.unassign(this.request.requestId, engine.server.name);
    this.decodeEngine = undefined;
    this.grant?.settle(0);
  }

  private finish(code: string | undefined): RequestResult {
    const { arrival, firstTokenMs, cancel } = this;
    const complete = code === undefined && !cancel.signal.aborted;
    if (firstTokenMs !== undefined) this.grant?.settle(arrival.promptTokens + arrival.outputTokens);
    this.release();
    return { arrival, code, complete, firstTokenMs, gapMs: POOL.tokenMs };
  }
}
