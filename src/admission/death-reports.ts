import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Quarantine } from './quarantine.js';

/** Peers that a new report is passed on to; each passes it on again, so it reaches the fleet. */
const GOSSIP_FANOUT = 4;

const REPORT_TIMEOUT_MS = 1000;

/** Longest wait for peers to know of a death, so that a silent one does not hold up re-runs. */
const PROPAGATION_TIMEOUT_MS = 250;

/** Bound on the fingerprints that one report may carry. */
const MAX_FINGERPRINTS = 1000;

/** One death of a server with the fingerprints that one VM had aboard. */
export interface DeathReport {
  readonly deathId: string;
  readonly server: string;
  readonly fingerprints: readonly string[];
  /** Incarnation of the server that died; empty when it is not known. */
  readonly incarnation: string;
}

/** Keeps the death counts of this VM and exchanges reports with peers. */
export class DeathReports {
  private readonly quarantine = Quarantine.create();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates death counts.
   *
   * @param kernel - finds `membership` and `peers`
   * @param clock - source of time
   * @returns new counts
   */
  static create(kernel: Kernel, clock: Clock): DeathReports {
    return new DeathReports(kernel, clock);
  }

  /**
   * Counts a death and passes it on to peers when it was not known.
   *
   * @param report - the death
   * @returns a promise that resolves when the peers that were told know, or after a deadline
   */
  async add(report: DeathReport): Promise<void> {
    const fingerprints = report.fingerprints.slice(0, MAX_FINGERPRINTS);
    const { deathId, server, incarnation } = report;
    const nowMs = this.clock.monotonicMs();
    const known = incarnation || undefined;
    if (!this.quarantine.record(deathId, server, fingerprints, nowMs, known)) return;
    const told = new AbortController();
    const passed = this.propagate({ ...report, fingerprints }).finally(() => told.abort());
    await Promise.race([passed, this.clock.sleep(PROPAGATION_TIMEOUT_MS, told.signal)]);
  }

  /**
   * Tells whether a fingerprint must run alone among suspects.
   *
   * @param fingerprint - the fingerprint
   * @returns true after a death aboard
   */
  isSuspect(fingerprint: string): boolean {
    return this.quarantine.isSuspect(fingerprint, this.clock.monotonicMs());
  }

  /**
   * Tells how long a fingerprint is still refused.
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
    const { deathId, server, incarnation: died, fingerprints } = report;
    const death = { deathId, server, incarnation: died, fingerprints: [...fingerprints] };
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
