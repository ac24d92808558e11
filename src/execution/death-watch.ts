import type { Backends } from '../backends/backends.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from '../routing/routing.js';

const MAX_PROBES = 5;
const PROBE_INTERVAL_MS = 100;

/** Callbacks that connect the watch to backends, routing and admission. */
export interface DeathWatchCallbacks {
  readonly backends: () => Backends;
  /** Incarnation that an engine last reported. */
  readonly incarnation: (server: string) => string | undefined;
  /** Records a load that an engine has reported. */
  readonly recordLoad: (server: string, load: EngineLoad) => void;
  /** Reports a death; resolves when the peers know of it, or after a short deadline. */
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

/**
 * Distinguishes the death of an engine from the loss of a connection, and reports the requests that
 * ran at the engine.
 */
export class DeathWatch {
  private readonly runningAttempts = new Map<string, Map<string, RunningAttempt>>();

  /** Incarnation with which each engine last died, if it was known. */
  private readonly deadIncarnations = new Map<string, string>();

  private readonly probes = new Map<string, Promise<void>>();

  private constructor(
    private readonly callbacks: DeathWatchCallbacks,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a watch without running attempts.
   *
   * @param callbacks - callbacks of the watch
   * @param clock - clock used to wait between probes
   * @returns a new watch
   */
  static create(callbacks: DeathWatchCallbacks, clock: Clock): DeathWatch {
    return new DeathWatch(callbacks, clock);
  }

  /**
   * Records that an engine runs an attempt.
   *
   * @param server - name of the engine
   * @param attemptId - the attempt
   * @param fingerprint - fingerprint of the request
   */
  attemptStarted(server: string, attemptId: string, fingerprint: string): void {
    const attempts = this.runningAttempts.get(server) ?? new Map<string, RunningAttempt>();
    this.runningAttempts.set(server, attempts);
    const incarnation = this.callbacks.incarnation(server);
    attempts.set(attemptId, { attemptId, fingerprint, incarnation });
  }

  /**
   * Records that an engine does not run an attempt any more.
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
   * Probes an engine after a lost connection to determine whether it died. A death counts against
   * the requests that run at the engine when this method is called.
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
   * Asks an engine that has died for its new incarnation, so that its next death counts separately.
   *
   * @param server - the engine
   * @returns false if the engine has died and does not answer
   */
  async isRecovered(server: EngineServer): Promise<boolean> {
    const dead = this.deadIncarnations.get(server.name);
    if (dead === undefined || dead !== this.callbacks.incarnation(server.name)) return true;
    const load = await this.callbacks.backends().engine(server).load();
    if (load.kind === 'ok') this.callbacks.recordLoad(server.name, load.value);
    return load.kind === 'ok';
  }

  /** Waits until all probes in progress have ended and their deaths have been reported. */
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
        // Peers must know of the death before the caller can send the request again to one of them.
        await this.reportDeath(server.name, attempts);
        return;
      }
      await this.clock.sleep(PROBE_INTERVAL_MS);
    }
  }

  private async reportDeath(server: string, attempts: readonly RunningAttempt[]): Promise<void> {
    const fingerprints = new Set(attempts.map(({ fingerprint }) => fingerprint));
    // The attempt that started last has the newest known incarnation of the engine.
    const incarnation = attempts.findLast((attempt) => attempt.incarnation)?.incarnation;
    if (incarnation) this.deadIncarnations.set(server, incarnation);
    const reported = this.callbacks.reportDeath(server, [...fingerprints], incarnation);
    // Connection losses that the other attempts report later belong to the same death.
    attempts.forEach(({ attemptId }) => this.attemptEnded(server, attemptId));
    await reported;
  }

  private async probeOnce(
    server: EngineServer,
    attempts: readonly RunningAttempt[],
  ): Promise<'alive' | 'dead' | 'unclear'> {
    const outcome = await this.callbacks.backends().engine(server).load();
    if (outcome.kind === 'failed') return outcome.failure.reason === 'refused' ? 'dead' : 'unclear';
    const { incarnation } = outcome.value;
    const restarted = attempts.some(
      (attempt) => attempt.incarnation && attempt.incarnation !== incarnation,
    );
    return restarted ? 'dead' : 'alive';
  }
}
