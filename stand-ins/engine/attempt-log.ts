import type { AttemptFields } from './request-schema.js';

/** How far an attempt has come on this engine. */
export type AttemptPhase =
  'reserved' | 'prefill' | 'prefilled' | 'transfer' | 'transferred' | 'decode';

/** How an attempt ended on this engine. */
export type AttemptEnd = 'complete' | 'exported' | 'cancelled' | 'expired' | 'restarted';

/** What the engine records about an attempt. */
export interface AttemptRecord extends AttemptFields {
  model: string;
  promptTokens: number;
  completionTokens: number;
  startedMs: number;
  phase: AttemptPhase;
  endedMs?: number;
  ended?: AttemptEnd;
}

/** Records attempts for the admin listener; it outlives restarts of the engine. */
export class AttemptLog {
  private readonly records = new Map<string, AttemptRecord>();

  /**
   * Creates an empty log.
   *
   * @returns a new log
   */
  static create(): AttemptLog {
    return new AttemptLog();
  }

  /**
   * Records that an attempt has come to a phase.
   *
   * @param attempt - the attempt
   * @param phase - its phase
   * @param details - further facts that became known
   */
  recordPhase(
    attempt: AttemptFields,
    phase: AttemptPhase,
    details: Partial<AttemptRecord> = {},
  ): void {
    const { requestId, attemptId, owner, team } = attempt;
    const record = this.records.get(attemptId) ?? {
      ...{ requestId, attemptId, owner, team, model: '', phase },
      ...{ promptTokens: 0, completionTokens: 0, startedMs: Date.now() },
    };
    this.records.set(attemptId, Object.assign(record, details, { phase }));
  }

  /**
   * Records the tokens that were generated.
   *
   * @param attemptId - the attempt
   * @param completionTokens - tokens so far
   */
  recordTokens(attemptId: string, completionTokens: number): void {
    const record = this.records.get(attemptId);
    if (record) record.completionTokens = completionTokens;
  }

  /**
   * Records the end of an attempt; the first end counts.
   *
   * @param attemptId - the attempt
   * @param ended - how it ended
   */
  recordEnd(attemptId: string, ended: AttemptEnd): void {
    const record = this.records.get(attemptId);
    if (record && !record.ended) Object.assign(record, { ended, endedMs: Date.now() });
  }

  /** Records the end of all attempts that have not ended, because the engine restarts. */
  recordRestart(): void {
    [...this.records.keys()].forEach((attemptId) => this.recordEnd(attemptId, 'restarted'));
  }

  /**
   * Finds the id of another attempt, for events that are sent to the wrong stream.
   *
   * @param attemptId - the attempt that it must differ from
   * @param hasEnded - whether the other attempt has ended
   * @returns the id of the newest such attempt, or a made-up one when there is none
   */
  findOtherId(attemptId: string, hasEnded: boolean): string {
    const matches = (record: AttemptRecord) =>
      record.attemptId !== attemptId && (record.ended !== undefined) === hasEnded;
    return [...this.records.values()].findLast(matches)?.attemptId ?? `other-than-${attemptId}`;
  }

  /**
   * Lists the attempts.
   *
   * @returns the records in the order of their start
   */
  list(): AttemptRecord[] {
    return [...this.records.values()];
  }
}
