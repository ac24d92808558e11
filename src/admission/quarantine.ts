/** Time for which a suspect stays a suspect and a quarantined fingerprint is refused. */
export const QUARANTINE_MS = 600_000;

/**
 * Reports about one server within this time describe one death, as seen by several VMs, unless they
 * name different incarnations of the server.
 */
export const DEATH_MERGE_MS = 3000;

/** Maximum number of stored suspicions, reports and servers each; the oldest are evicted first. */
const MAX_ENTRIES = 10_000;

interface Suspicion {
  readonly sinceMs: number;
  readonly death: Death;
  quarantinedMs: number | undefined;
}

interface Death {
  readonly atMs: number;
  /** Incarnation of the server that died; undefined until a report names it. */
  incarnation: string | undefined;
  readonly suspects: Set<string>;
  readonly nonSuspects: Set<string>;
}

/** Finds the requests that crash servers, from the server deaths during which they ran. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicion>();

  /** Recent deaths by server. */
  private readonly deaths = new Map<string, readonly Death[]>();

  private readonly reportIds = new Set<string>();

  /**
   * Creates an instance without recorded deaths.
   *
   * @returns a new instance
   */
  static create(): Quarantine {
    return new Quarantine();
  }

  /**
   * Records a death. When no suspect was running on the server, every fingerprint becomes a
   * suspect. When exactly one suspect was running, it is quarantined, and the others do not become
   * suspects.
   *
   * @param reportId - identifies the report; a repeated one is ignored
   * @param server - name of the server
   * @param fingerprints - fingerprints of the requests that were running on it
   * @param nowMs - monotonic time, in milliseconds
   * @param incarnation - incarnation of the server that died; undefined when it is not known
   * @returns true when the report was new
   */
  record(
    reportId: string,
    server: string,
    fingerprints: readonly string[],
    nowMs: number,
    incarnation?: string,
  ): boolean {
    if (this.reportIds.has(reportId)) return false;
    this.reportIds.add(reportId);
    this.evictOld(nowMs);
    const death = this.findOrCreateDeath(server, nowMs, incarnation);
    fingerprints.forEach((fingerprint) => this.addFingerprint(death, fingerprint, nowMs));
    this.updateSuspicions(death, nowMs);
    return true;
  }

  /**
   * Returns whether no other suspect may run on the same server as this fingerprint.
   *
   * @param fingerprint - the fingerprint
   * @param nowMs - monotonic time, in milliseconds
   * @returns true while the fingerprint is a suspect
   */
  isSuspect(fingerprint: string, nowMs: number): boolean {
    return this.find(fingerprint, nowMs) !== undefined;
  }

  /**
   * Returns the remaining quarantine of a fingerprint.
   *
   * @param fingerprint - the fingerprint
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds, or undefined when it is not quarantined
   */
  remainingMs(fingerprint: string, nowMs: number): number | undefined {
    const quarantinedMs = this.find(fingerprint, nowMs)?.quarantinedMs;
    return quarantinedMs === undefined ? undefined : quarantinedMs + QUARANTINE_MS - nowMs;
  }

  private findOrCreateDeath(server: string, nowMs: number, incarnation: string | undefined): Death {
    const all = this.deaths.get(server) ?? [];
    const recent = all.filter(({ atMs }) => nowMs - atMs <= DEATH_MERGE_MS);
    const known =
      recent.find((death) => death.incarnation === incarnation) ??
      recent.findLast((death) => !death.incarnation || !incarnation);
    if (known) {
      known.incarnation ??= incarnation;
      return known;
    }
    const sets = { suspects: new Set<string>(), nonSuspects: new Set<string>() };
    const death: Death = { atMs: nowMs, incarnation, ...sets };
    this.deaths.delete(server);
    this.deaths.set(server, [...recent, death]);
    return death;
  }

  private addFingerprint(death: Death, fingerprint: string, nowMs: number): void {
    const known = this.find(fingerprint, nowMs);
    if (known && known.death !== death) death.suspects.add(fingerprint);
    else death.nonSuspects.add(fingerprint);
  }

  private updateSuspicions(death: Death, nowMs: number): void {
    death.nonSuspects.forEach((fingerprint) => this.updateNonSuspect(death, fingerprint));
    death.suspects.forEach((fingerprint) => {
      const suspicion = this.suspicions.get(fingerprint);
      if (!suspicion) return;
      if (death.suspects.size === 1) suspicion.quarantinedMs = nowMs;
      else if (suspicion.quarantinedMs !== undefined && suspicion.quarantinedMs >= death.atMs) {
        suspicion.quarantinedMs = undefined;
      }
    });
  }

  private updateNonSuspect(death: Death, fingerprint: string): void {
    if (death.suspects.size > 0) {
      if (this.suspicions.get(fingerprint)?.death === death) this.suspicions.delete(fingerprint);
      return;
    }
    if (this.suspicions.has(fingerprint)) return;
    this.suspicions.set(fingerprint, { sinceMs: death.atMs, death, quarantinedMs: undefined });
  }

  private find(fingerprint: string, nowMs: number): Suspicion | undefined {
    const known = this.suspicions.get(fingerprint);
    if (!known) return undefined;
    if (nowMs - (known.quarantinedMs ?? known.sinceMs) < QUARANTINE_MS) return known;
    this.suspicions.delete(fingerprint);
    return undefined;
  }

  private evictOld(nowMs: number): void {
    evictBeyondLimit(this.suspicions);
    evictBeyondLimit(this.reportIds);
    evictBeyondLimit(this.deaths);
    const [oldest] = this.suspicions.keys();
    if (oldest !== undefined) this.find(oldest, nowMs);
  }
}

function evictBeyondLimit(entries: Map<string, unknown> | Set<string>): void {
  while (entries.size > MAX_ENTRIES) {
    const [oldest] = entries.keys();
    entries.delete(oldest!);
  }
}
