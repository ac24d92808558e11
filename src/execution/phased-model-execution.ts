import { Refusal, type RefusalCode } from '../domain/refusal.js';
import type { ModelAnswer, ModelRequest } from '../domain/request.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { fail, type Outcome } from '../kernel/outcome.js';
import type { Settings } from '../settings/schema.js';
import { DeathWatch } from './death-watch.js';
import { LeaseWatch } from './lease-watch.js';
import { ModelExecution } from './model-execution.js';
import { ModelRun } from './model-run.js';
import { HoldReleaser } from './hold-releaser.js';
import type { RunContext } from './run-context.js';

/** Runs model requests, each with its own state machine; see docs/design.md, 6.6 and 6.7. */
export class PhasedModelExecution extends ModelExecution {
  private readonly runs = new Set<ModelRun>();

  private readonly context: RunContext;

  private readonly leaseWatch: LeaseWatch;

  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
    private readonly clock: Clock,
  ) {
    super();
    const backends = () => kernel.find('backends');
    const holdReleaser = HoldReleaser.create(
      backends,
      (server) => this.isConfigured(server),
      clock,
    );
    const deathWatch = DeathWatch.create(
      {
        backends,
        incarnation: (server) => kernel.find('routing').incarnation(server),
        recordLoad: (server, load) => kernel.find('routing').observeLoad(server, load),
        reportDeath: (server, fingerprints, incarnation) =>
          kernel.find('admission').reportDeath(server, fingerprints, incarnation),
      },
      clock,
    );
    this.context = { kernel, settings, clock, holdReleaser, deathWatch };
    // A VM that is isolated from the others cannot learn that a team key was withdrawn.
    this.leaseWatch = LeaseWatch.create(kernel, clock, () =>
      this.abortAll('isolated', 'this VM has lost contact with the others'),
    );
  }

  /**
   * Creates the service without running requests.
   *
   * @param kernel - finds other services
   * @param settings - timeouts
   * @param clock - source of time
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): PhasedModelExecution {
    return new PhasedModelExecution(kernel, settings, clock);
  }

  override async start(): Promise<void> {
    const withdrawals = this.kernel.find('configuration').withdrawals();
    const reincarnations = this.kernel.find('membership').reincarnations();
    void withdrawals.forEach((keyId) => this.abortWithdrawn(keyId));
    void reincarnations.forEach(() =>
      this.abortAll('isolated', 'this VM was removed from the members and joins again'),
    );
    this.leaseWatch.start();
  }

  /** Waits for the requests in progress and their cancel calls, until the shutdown deadline. */
  override async stop(): Promise<void> {
    const deadline = new AbortController();
    const timeout = this.clock.sleep(this.settings.timeouts.shutdownMs, deadline.signal);
    await Promise.race([timeout, this.waitForRuns()]);
    this.leaseWatch.stop();
    this.abortAll('draining', 'this VM shuts down');
    await Promise.race([timeout, this.context.holdReleaser.drain(deadline.signal)]);
    deadline.abort();
  }

  override async run(
    request: ModelRequest,
    signal: AbortSignal,
  ): Promise<Outcome<ModelAnswer, Refusal>> {
    const state = this.kernel.find('configuration').current();
    const model = state?.models.get(request.model);
    const preset = state?.presets.get(state.presetInForce);
    if (!state || !preset) return refuse('not_ready', 'no configuration has been read yet');
    if (!model) return refuse('model_unknown', `no model is named ${request.model}`);
    if (this.isWithdrawn(request.keyId)) return refuse('key_withdrawn', 'the key was withdrawn');
    const run = ModelRun.create(this.context, request, model, preset);
    this.track(run, signal);
    return run.begin();
  }

  override unknownAttempts(attemptIds: readonly string[]): readonly string[] {
    const known = new Set([...this.runs].map((run) => run.attemptId));
    return attemptIds.filter((attemptId) => !known.has(attemptId));
  }

  override active(): number {
    return this.runs.size;
  }

  private track(run: ModelRun, signal: AbortSignal): void {
    const abort = () => run.abort('cancelled', 'the caller closed the connection');
    this.runs.add(run);
    signal.addEventListener('abort', abort, { once: true });
    if (signal.aborted) queueMicrotask(abort);
    void run.finished().then(() => {
      signal.removeEventListener('abort', abort);
      this.runs.delete(run);
    });
  }

  private async waitForRuns(): Promise<void> {
    while (this.runs.size > 0) await Promise.all([...this.runs].map((run) => run.finished()));
  }

  private abortWithdrawn(keyId: string): void {
    const withdrawn = [...this.runs].filter((run) => run.request.keyId === keyId);
    withdrawn.forEach((run) => run.abort('key_withdrawn', 'the key was withdrawn'));
  }

  private abortAll(code: RefusalCode, message: string): void {
    [...this.runs].forEach((run) => run.abort(code, message));
  }

  private isWithdrawn(keyId: string | undefined): boolean {
    return keyId !== undefined && this.kernel.find('configuration').withdrawn().has(keyId);
  }

  private isConfigured(server: string): boolean {
    return this.kernel.find('configuration').current()?.servers.has(server) ?? false;
  }
}

async function refuse(code: RefusalCode, message: string): Promise<Outcome<ModelAnswer, Refusal>> {
  return fail(Refusal.create(code, message));
}
