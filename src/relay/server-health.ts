/** How a request ended at a server, as far as it speaks for or against the server. */
export type HealthEvidence = 'answered' | 'failed' | 'broken' | 'unreachable' | 'silent' | 'full';

/** What the answers of a server say of it. */
export type ServerState = 'sound' | 'failing' | 'unreachable';

interface HealthRecord {
  /** Recent share of failures, 0 to 1. */
  failures: number;
  notedMs: number;
  avoidedUntilMs: number;
  fullUntilMs: number;
  /** Length of the last pause, in milliseconds. */
  pauseMs: number;
  /** When a connection to the server last broke or could not be made, as far as any VM told. */
  brokenMs: number;
}

/** Weight of the newest answer in the share of failures. */
const NEWEST_WEIGHT = 0.15;

/** Share of failures from which a server is avoided while others do better. */
const FAILING_SHARE = 0.25;

/** First pause after a server could not be reached or fell silent, in milliseconds. */
const INITIAL_PAUSE_MS = 400;

/** Longest pause, in milliseconds; a restarted server has a new id mostly, else it waits this long. */
const MAX_PAUSE_MS = 3000;

/** Half-life of evidence without new evidence, in milliseconds. */
const HALF_LIFE_MS = 4000;

/** Time for which a server that turned a request away is passed over, in milliseconds. */
const FULL_MS = 60;

/** Judges servers by their answers; evidence decays. */
export class ServerHealth {
  private readonly records = new Map<string, HealthRecord>();

  /**
   * Creates a judge without evidence.
   *
   * @returns a new judge
   */
  static create(): ServerHealth {
    return new ServerHealth();
  }

  /**
   * Notes how a request ended.
   *
   * @param server - id of the server
   * @param evidence - how it ended
   * @param nowMs - monotonic time
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
    if (evidence === 'unreachable' || evidence === 'silent') {
      Object.assign(record, nextPause(record, nowMs));
    }
  }

  /**
   * Takes over what another VM avoids.
   *
   * @param server - id of the server
   * @param forMs - time for which it is avoided there
   * @param nowMs - monotonic time
   */
  recordAvoided(server: string, forMs: number, nowMs: number): void {
    const record = this.decay(server, nowMs);
    if (nowMs >= record.avoidedUntilMs) record.brokenMs = nowMs;
    const untilMs = nowMs + Math.min(forMs, MAX_PAUSE_MS);
    record.avoidedUntilMs = Math.max(record.avoidedUntilMs, untilMs);
  }

  /**
   * Tells whether a server is to be left out while another one is there.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time
   * @returns true when it could not be reached lately or fails often
   */
  isAvoided(server: string, nowMs: number): boolean {
    return this.stateOf(server, nowMs) !== 'sound';
  }

  /**
   * Judges a server by its answers.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time
   * @returns `unreachable` also for a server that fell silent, `failing` for one that fails often
   */
  stateOf(server: string, nowMs: number): ServerState {
    if (nowMs < (this.records.get(server)?.avoidedUntilMs ?? -Infinity)) return 'unreachable';
    return this.failureShare(server, nowMs) > FAILING_SHARE ? 'failing' : 'sound';
  }

  /**
   * Tells which part of its requests a server has failed lately.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time
   * @returns share of failures, 0 to 1
   */
  failureShare(server: string, nowMs: number): number {
    return this.records.has(server) ? this.decay(server, nowMs).failures : 0;
  }

  /**
   * Tells whether a server has just turned a request away for lack of room.
   *
   * @param server - id of the server
   * @param nowMs - monotonic time
   * @returns true for a short time after it
   */
  isFull(server: string, nowMs: number): boolean {
    return nowMs < (this.records.get(server)?.fullUntilMs ?? -Infinity);
  }

  /**
   * Says that room has come free at a server.
   *
   * @param server - id of the server
   */
  clearFull(server: string): void {
    const record = this.records.get(server);
    if (record) record.fullUntilMs = -Infinity;
  }

  /**
   * Tells when connections to a server may have been lost: those from before are not to be trusted.
   *
   * @param server - id of the server
   * @returns monotonic time; -Infinity when none was lost
   */
  brokenMs(server: string): number {
    return this.records.get(server)?.brokenMs ?? -Infinity;
  }

  /**
   * Lists the servers that this VM could not reach.
   *
   * @param nowMs - monotonic time
   * @returns remaining time of the pause by server, in milliseconds
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
  const longer = Math.min(MAX_PAUSE_MS, pauseMs * 2 || INITIAL_PAUSE_MS);
  return { pauseMs: longer, avoidedUntilMs: nowMs + longer };
}
