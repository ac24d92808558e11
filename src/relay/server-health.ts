/** How a request to a server ended, as evidence of the server's health. */
export type HealthEvidence = 'answered' | 'failed' | 'broken' | 'unreachable' | 'silent' | 'full';

/** Health state of a server, derived from its answers. */
export type ServerState = 'sound' | 'failing' | 'unreachable';

interface HealthRecord {
  /** Recent failure share, 0 to 1. */
  failures: number;
  notedMs: number;
  avoidedUntilMs: number;
  fullUntilMs: number;
  /** Length of the last pause, in milliseconds. */
  pauseMs: number;
  /** When a connection to the server last broke or could not be opened, as reported by any VM. */
  brokenMs: number;
  /** When a connection to the server could last not be opened, as reported by any VM. */
  unreachableMs: number;
}

/** Weight of the latest answer in the failure share. */
const NEWEST_WEIGHT = 0.15;

/** Failure share above which a server counts as failing and is avoided while sound ones exist. */
const FAILING_SHARE = 0.25;

/** First pause after a server was unreachable or made no progress, in milliseconds. */
const INITIAL_PAUSE_MS = 400;

/** Maximum pause, in milliseconds; a restarted server that keeps its id, which is rare, may wait this long. */
const MAX_PAUSE_MS = 3000;

/** Half-life of the failure share, in milliseconds. */
const HALF_LIFE_MS = 4000;

/** Time for which a server that rejected a request for lack of capacity counts as full, in milliseconds. */
const FULL_MS = 60;

/** Tracks the health of servers from their answers; the failure share decays over time. */
export class ServerHealth {
  private readonly records = new Map<string, HealthRecord>();

  /**
   * Creates a tracker without evidence.
   *
   * @returns a new tracker
   */
  static create(): ServerHealth {
    return new ServerHealth();
  }

  /**
   * Records how a request ended.
   *
   * @param server - id of the server
   * @param evidence - how it ended
   * @param nowMs - monotonic time, in milliseconds
   */
  record(server: string, evidence: HealthEvidence, nowMs: number): void {
    const record = this.decay(server, nowMs);
    if (evidence === 'full') {
      record.fullUntilMs = nowMs + FULL_MS;
      return;
    }
    const failed = evidence === 'answered' ? 0 : 1;
    record.failures += NEWEST_WEIGHT * (failed - record.failures);
    if (evidence === 'answered') {
      record.pauseMs = 0;
      record.avoidedUntilMs = -Infinity;
    }
    if (evidence === 'unreachable' || evidence === 'broken') record.brokenMs = nowMs;
    if (evidence === 'unreachable') record.unreachableMs = nowMs;
    if (evidence === 'unreachable' || evidence === 'silent') {
      Object.assign(record, nextPause(record, nowMs));
    }
  }

  /**
   * Records that another VM avoids a server.
   *
   * @param server - id of the server
   * @param forMs - remaining pause at the other VM, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   */
  recordAvoided(server: string, forMs: number, nowMs: number): void {
    const record = this.decay(server, nowMs);
    if (nowMs >= record.avoidedUntilMs)
      Object.assign(record, { brokenMs: nowMs, unreachableMs: nowMs });
    const untilMs = nowMs + Math.min(forMs, MAX_PAUSE_MS);
    record.avoidedUntilMs = Math.max(record.avoidedUntilMs, untilMs);
  }

  /**
   * Returns whether a server should not be used while another one is available.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns true while the pause after it was unreachable lasts, and while it fails often
   */
  isAvoided(server: string, nowMs: number): boolean {
    return this.stateOf(server, nowMs) !== 'sound';
  }

  /**
   * Determines the health state of a server.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns `unreachable` also for a server that made no progress, `failing` for one that fails often
   */
  stateOf(server: string, nowMs: number): ServerState {
    if (nowMs < (this.records.get(server)?.avoidedUntilMs ?? -Infinity)) return 'unreachable';
    return this.failureShare(server, nowMs) > FAILING_SHARE ? 'failing' : 'sound';
  }

  /**
   * Returns the share of recent requests that a server has failed.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns failure share, 0 to 1
   */
  failureShare(server: string, nowMs: number): number {
    return this.records.has(server) ? this.decay(server, nowMs).failures : 0;
  }

  /**
   * Returns whether a server rejected a request for lack of capacity and is not to be used yet.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time, in milliseconds
   * @returns true until the pause after the rejection has ended
   */
  isFull(server: string, nowMs: number): boolean {
    return nowMs < (this.records.get(server)?.fullUntilMs ?? -Infinity);
  }

  /**
   * Records that capacity has become free at a server.
   *
   * @param server - id of the server
   */
  clearFull(server: string): void {
    const record = this.records.get(server);
    if (record) record.fullUntilMs = -Infinity;
  }

  /**
   * Returns when connections to a server may have been lost; those opened before must not be trusted.
   *
   * @param server - id of the server
   * @returns monotonic time, in milliseconds; -Infinity when none was lost
   */
  brokenMs(server: string): number {
    return this.records.get(server)?.brokenMs ?? -Infinity;
  }

  /**
   * Returns when a server could last not be reached.
   *
   * @param server - id of the server
   * @returns monotonic time, in milliseconds; -Infinity when it always could
   */
  unreachableMs(server: string): number {
    return this.records.get(server)?.unreachableMs ?? -Infinity;
  }

  /**
   * Lists the servers that this VM itself could not reach.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns remaining pause by server id, in milliseconds
   */
  avoided(nowMs: number): Map<string, number> {
    const pauses = new Map<string, number>();
    this.records.forEach(({ avoidedUntilMs, pauseMs }, server) => {
      if (pauseMs > 0 && avoidedUntilMs > nowMs) pauses.set(server, avoidedUntilMs - nowMs);
    });
    return pauses;
  }

  private decay(server: string, nowMs: number): HealthRecord {
    const known = this.records.get(server);
    if (known) {
      known.failures *= 0.5 ** (Math.max(0, nowMs - known.notedMs) / HALF_LIFE_MS);
      known.notedMs = nowMs;
      return known;
    }
    const record = {
      failures: 0,
      notedMs: nowMs,
      avoidedUntilMs: -Infinity,
      fullUntilMs: -Infinity,
      pauseMs: 0,
      brokenMs: -Infinity,
      unreachableMs: -Infinity,
    };
    this.records.set(server, record);
    return record;
  }
}

function nextPause(
  { avoidedUntilMs, pauseMs }: HealthRecord,
  nowMs: number,
): Partial<HealthRecord> {
  if (nowMs < avoidedUntilMs && pauseMs > 0) return {};
  const nextMs = Math.min(MAX_PAUSE_MS, pauseMs * 2 || INITIAL_PAUSE_MS);
  return { pauseMs: nextMs, avoidedUntilMs: nowMs + nextMs };
}
