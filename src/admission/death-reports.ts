import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Quarantine } from './quarantine.js';

/**
 * Number of peers that a new report is forwarded to. Each peer forwards it in turn, so that it
 * reaches the whole fleet.
 */
const GOSSIP_FANOUT = 4;

const REPORT_TIMEOUT_MS = 1000;

/**
 * Maximum wait until peers know of a server death, so that an unresponsive peer does not delay
 * re-runs.
 */
const PROPAGATION_TIMEOUT_MS = 250;

/** Maximum number of fingerprints in one report. */
const MAX_FINGERPRINTS = 1000;

/** The death of a backend server, with the fingerprints of the requests that one VM ran on it. */
export interface DeathReport {
  readonly deathId: string;
  readonly server: string;
  readonly fingerprints: readonly string[];
  /** Incarnation of the server that died; empty when it is not known. */
  readonly incarnation: string;
}

/** Records deaths of backend servers on this VM and exchanges the reports with peers by gossip. */
export class DeathReports {
  private readonly quarantine = Quarantine.create();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates an instance without recorded deaths.
   *
   * @param kernel - finds `membership` and `peers`
   * @param clock - source of time
   * @returns a new instance
   */
  static create(kernel: Kernel, clock: Clock): DeathReports {
    return new DeathReports(kernel, clock);
  }

  /**
   * Records a death and forwards it to peers when it is new.
   *
   * @param report - the death
   * @returns a promise that resolves when the chosen peers have answered, or after
   *   {@link PROPAGATION_TIMEOUT_MS}
   */
  async add(report: DeathReport): Promise<void> {
    const fingerprints = report.fingerprints.slice(0, MAX_FINGERPRINTS);
    const { deathId, server, incarnation } = report;
    const nowMs = this.clock.monotonicMs();
    const known = incarnation || undefined;
    if (!this.quarantine.record(deathId, server, fingerprints, nowMs, known)) return;
    const propagated = new AbortController();
    const propagation = this.propagate({ ...report, fingerprints }).finally(() =>
      propagated.abort(),
    );
    await Promise.race([propagation, this.clock.sleep(PROPAGATION_TIMEOUT_MS, propagated.signal)]);
  }

  /**
   * Returns whether no other suspect may run on the same server as this fingerprint.
   *
   * @param fingerprint - the fingerprint
   * @returns true while the fingerprint is a suspect
   */
  isSuspect(fingerprint: string): boolean {
    return this.quarantine.isSuspect(fingerprint, this.clock.monotonicMs());
  }

  /**
   * Returns the remaining quarantine of a fingerprint.
   *
   * @param fingerprint - the fingerprint
   * @returns milliseconds, or undefined when it is not quarantined
   */
  remainingMs(fingerprint: string): number | undefined {
    return this.quarantine.remainingMs(fingerprint, this.clock.monotonicMs());
  }

  private async propagate(report: DeathReport): Promise<void> {
    const membership = this.kernel.find('membership');
    const { vm, incarnation } = membership.self();
    const others = membership.current().members.filter((member) => member.vm !== vm);
    const chosen = others
      .map((member) => ({ member, order: Math.random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, GOSSIP_FANOUT);
    const { deathId, server, incarnation: serverIncarnation, fingerprints } = report;
    const death = {
      deathId,
      server,
      incarnation: serverIncarnation,
      fingerprints: [...fingerprints],
    };
    const calls = chosen.map(({ member }) =>
      this.kernel
        .find('peers')
        .client(member.peers)
        .reportDeaths(
          { sender: { vm, incarnation }, deaths: [death] },
          { timeoutMs: REPORT_TIMEOUT_MS },
        ),
    );
    await Promise.allSettled(calls);
  }
}
