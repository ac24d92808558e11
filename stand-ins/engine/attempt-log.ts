import type { AttemptFields } from './request-schema.js';

/** Latest phase of an attempt on this engine. */
export type AttemptPhase =
  'reserved' | 'prefill' | 'prefilled' | 'transfer' | 'transferred' | 'decode';

/** How an attempt ended on this engine. */
export type AttemptEnd = 'complete' | 'exported' | 'cancelled' | 'expired' | 'restarted';

/** Record of an attempt, as `GET /record` returns it. */
export interface AttemptRecord extends AttemptFields {
  model: string;
  promptTokens: number;
  completionTokens: number;
  startedMs: number;
  phase: AttemptPhase;
  endedMs?: number;
  ended?: AttemptEnd;
}

/** Records attempts for the admin listener; kept across restarts of the engine. */
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
   * Records that an attempt has entered a phase.
   *
   * @param attempt - the attempt
   * @param phase - its phase
   * @param details - further fields that are known from this phase on
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
   * Records the number of generated tokens.
   *
   * @param attemptId - the attempt
   * @param completionTokens - number of tokens so far
   */
  recordTokens(attemptId: string, completionTokens: number): void {
    const record = this.records.get(attemptId);
    if (record) record.completionTokens = completionTokens;
  }

  /**
   * Records the end of an attempt; later calls for the same attempt are ignored.
   *
   * @param attemptId - the attempt
   * @param ended - how it ended
   */
  recordEnd(attemptId: string, ended: AttemptEnd): void {
    const record = this.records.get(attemptId);
    if (record && !record.ended) Object.assign(record, { ended, endedMs: Date.now() });
  }

  /** Records that all unfinished attempts ended by a restart of the engine. */
  recordRestart(): void {
    [...this.records.keys()].forEach((attemptId) => this.recordEnd(attemptId, 'restarted'));
  }

  /**
   * Finds the id of another attempt, for the stream faults that send events of another attempt.
   *
   * @param attemptId - attempt to exclude
   * @param hasEnded - whether the other attempt must have ended or must be running
   * @returns the id of the newest match, or a synthetic id when there is none
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
