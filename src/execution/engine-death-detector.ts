import type { Backends } from '../backends/backends.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from '../routing/routing.js';

const MAX_PROBES = 5;
const PROBE_INTERVAL_MS = 100;

/** What the watch asks and tells. */
export interface DeathDetectorContext {
  readonly backends: () => Backends;
  /** Incarnation that an engine last reported. */
  readonly incarnation: (server: string) => string | undefined;
  /** Takes a load that an engine has reported. */
  readonly recordLoad: (server: string, load: EngineLoad) => void;
  /** Reports a death; resolves when peers know, or after a short deadline. */
  readonly reportDeath: (
    server: string,
    fingerprints: readonly string[],
    incarnation: string | undefined,
  ) => Promise<void>;
}

interface RunningAttempt {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly incarnation: string | undefined;
}

/** Tells the death of an engine from the loss of a connection, and names the requests aboard. */
export class EngineDeathDetector {
  private readonly runningAttempts = new Map<string, Map<string, RunningAttempt>>();

  /** Incarnation of each engine that died last, as far as it was known. */
  private readonly ended = new Map<string, string>();

  private readonly probes = new Map<string, Promise<void>>();

  private constructor(
    private readonly context: DeathDetectorContext,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a watch without requests.
   *
   * @param context - what it asks and tells
   * @param clock - time between probes
   * @returns a new watch
   */
  static create(context: DeathDetectorContext, clock: Clock): EngineDeathDetector {
    return new EngineDeathDetector(context, clock);
  }

  /**
   * Notes that an engine runs a request.
   *
   * @param server - name of the engine
   * @param attemptId - the attempt
   * @param fingerprint - fingerprint of the request
   */
  attemptStarted(server: string, attemptId: string, fingerprint: string): void {
    const attempts = this.runningAttempts.get(server) ?? new Map<string, RunningAttempt>();
    this.runningAttempts.set(server, attempts);
    const incarnation = this.context.incarnation(server);
    attempts.set(attemptId, { attemptId, fingerprint, incarnation });
  }

  /**
   * Notes that an engine runs a request no more.
   *
   * @param server - name of the engine
   * @param attemptId - the attempt
   */
  attemptEnded(server: string, attemptId: string): void {
    const attempts = this.runningAttempts.get(server);
    attempts?.delete(attemptId);
    if (attempts?.size === 0) this.runningAttempts.delete(server);
  }

  /**
   * Notes a lost connection and begins to find out whether the engine died. The requests that are
   * aboard now are the ones that a death counts against.
   *
   * @param server - the engine
   */
  connectionLost(server: EngineServer): void {
    const attempts = [...(this.runningAttempts.get(server.name)?.values() ?? [])];
    if (attempts.length === 0 || this.probes.has(server.name)) return;
    const probe = this.probeRepeatedly(server, attempts);
    this.probes.set(server.name, probe);
    void probe.finally(() => this.probes.delete(server.name));
  }

  /**
   * Asks an engine that has died for its new incarnation, so that its next death is told apart.
   *
   * @param server - the engine
   * @returns false while an engine that has died does not answer
   */
  async isRecovered(server: EngineServer): Promise<boolean> {
    const ended = this.ended.get(server.name);
    if (ended === undefined || ended !== this.context.incarnation(server.name)) return true;
    const load = await this.context.backends().engine(server).load();
    if (load.kind === 'ok') this.context.recordLoad(server.name, load.value);
    return load.kind === 'ok';
  }

  /** Waits until it is known which engines have died. */
  async probesFinished(): Promise<void> {
    await Promise.all([...this.probes.values()]);
  }

  private async probeRepeatedly(
    server: EngineServer,
    attempts: readonly RunningAttempt[],
  ): Promise<void> {
    for (let count = 0; count < MAX_PROBES; count += 1) {
      const verdict = await this.probeOnce(server, attempts);
      if (verdict === 'alive') return;
      if (verdict === 'dead') {
        // Peers have to know before the request may come to them, sent again by its caller.
        await this.reportDeath(server.name, attempts);
        return;
      }
      await this.clock.sleep(PROBE_INTERVAL_MS);
    }
  }

  private async reportDeath(server: string, attempts: readonly RunningAttempt[]): Promise<void> {
    const fingerprints = new Set(attempts.map(({ fingerprint }) => fingerprint));
    // The one that boarded last has the newest view of the engine.
    const incarnation = attempts.findLast((attempt) => attempt.incarnation)?.incarnation;
    if (incarnation) this.ended.set(server, incarnation);
    const reported = this.context.reportDeath(server, [...fingerprints], incarnation);
    // The other requests learn later that their connections are lost; that is the same death.
    attempts.forEach(({ attemptId }) => this.attemptEnded(server, attemptId));
    await reported;
  }

  private async probeOnce(
    server: EngineServer,
    attempts: readonly RunningAttempt[],
  ): Promise<'alive' | 'dead' | 'unclear'> {
    const outcome = await this.context.backends().engine(server).load();
    if (outcome.kind === 'failed') return outcome.failure.reason === 'refused' ? 'dead' : 'unclear';
    const { incarnation } = outcome.value;
    const restarted = attempts.some(
      (attempt) => attempt.incarnation && attempt.incarnation !== incarnation,
    );
    return restarted ? 'dead' : 'alive';
  }
}
