import type { Backends } from '../backends/backends.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Clock } from '../kernel/clock.js';
import type { EngineLoad } from '../routing/routing.js';

const PROBES = 5;
const PROBE_DELAY_MS = 100;

/** What the watch asks and tells. */
export interface DeathTarget {
  readonly backends: () => Backends;
  /** Incarnation that an engine last reported. */
  readonly incarnation: (server: string) => string | undefined;
  /** Takes a load that an engine has reported. */
  readonly loaded: (server: string, load: EngineLoad) => void;
  /** Reports a death; resolves when peers know, or after a short deadline. */
  readonly report: (
    server: string,
    fingerprints: readonly string[],
    incarnation: string | undefined,
  ) => Promise<void>;
}

interface Passenger {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly incarnation: string | undefined;
}

/** Tells the death of an engine from the loss of a connection, and names the requests aboard. */
export class DeathWatch {
  private readonly aboard = new Map<string, Map<string, Passenger>>();

  /** Incarnation of each engine that died last, as far as it was known. */
  private readonly ended = new Map<string, string>();

  private readonly probes = new Map<string, Promise<void>>();

  private constructor(
    private readonly target: DeathTarget,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a watch without requests.
   *
   * @param target - what it asks and tells
   * @param clock - time between probes
   * @returns a new watch
   */
  static create(target: DeathTarget, clock: Clock): DeathWatch {
    return new DeathWatch(target, clock);
  }

  /**
   * Notes that an engine runs a request.
   *
   * @param server - name of the engine
   * @param attemptId - the attempt
   * @param fingerprint - fingerprint of the request
   */
  board(server: string, attemptId: string, fingerprint: string): void {
    const passengers = this.aboard.get(server) ?? new Map<string, Passenger>();
    this.aboard.set(server, passengers);
    const incarnation = this.target.incarnation(server);
    passengers.set(attemptId, { attemptId, fingerprint, incarnation });
  }

  /**
   * Notes that an engine runs a request no more.
   *
   * @param server - name of the engine
   * @param attemptId - the attempt
   */
  leave(server: string, attemptId: string): void {
    const passengers = this.aboard.get(server);
    passengers?.delete(attemptId);
    if (passengers?.size === 0) this.aboard.delete(server);
  }

  /**
   * Notes a lost connection and begins to find out whether the engine died. The requests that are
   * aboard now are the ones that a death counts against.
   *
   * @param server - the engine
   */
  lost(server: EngineServer): void {
    const passengers = [...(this.aboard.get(server.name)?.values() ?? [])];
    if (passengers.length === 0 || this.probes.has(server.name)) return;
    const probe = this.probe(server, passengers);
    this.probes.set(server.name, probe);
    void probe.finally(() => this.probes.delete(server.name));
  }

  /**
   * Asks an engine that has died for its new incarnation, so that its next death is told apart.
   *
   * @param server - the engine
   * @returns false while an engine that has died does not answer
   */
  async isBack(server: EngineServer): Promise<boolean> {
    const ended = this.ended.get(server.name);
    if (ended === undefined || ended !== this.target.incarnation(server.name)) return true;
    const load = await this.target.backends().engine(server).load();
    if (load.kind === 'ok') this.target.loaded(server.name, load.value);
    return load.kind === 'ok';
  }

  /** Waits until it is known which engines have died. */
  async settled(): Promise<void> {
    await Promise.all([...this.probes.values()]);
  }

  private async probe(server: EngineServer, passengers: readonly Passenger[]): Promise<void> {
    for (let count = 0; count < PROBES; count += 1) {
      const verdict = await this.ask(server, passengers);
      if (verdict === 'alive') return;
      if (verdict === 'dead') {
        // Peers have to know before the request may come to them, sent again by its caller.
        await this.reportDeath(server.name, passengers);
        return;
      }
      await this.clock.sleep(PROBE_DELAY_MS);
    }
  }

  private async reportDeath(server: string, passengers: readonly Passenger[]): Promise<void> {
    const fingerprints = new Set(passengers.map(({ fingerprint }) => fingerprint));
    // The one that boarded last has the newest view of the engine.
    const incarnation = passengers.findLast((passenger) => passenger.incarnation)?.incarnation;
    if (incarnation) this.ended.set(server, incarnation);
    const reported = this.target.report(server, [...fingerprints], incarnation);
    // The other requests learn later that their connections are lost; that is the same death.
    passengers.forEach(({ attemptId }) => this.leave(server, attemptId));
    await reported;
  }

  private async ask(
    server: EngineServer,
    passengers: readonly Passenger[],
  ): Promise<'alive' | 'dead' | 'unclear'> {
    const outcome = await this.target.backends().engine(server).load();
    if (outcome.kind === 'failed') return outcome.failure.reason === 'refused' ? 'dead' : 'unclear';
    const { incarnation } = outcome.value;
    const restarted = passengers.some(
      (passenger) => passenger.incarnation && passenger.incarnation !== incarnation,
    );
    return restarted ? 'dead' : 'alive';
  }
}
