import type { CallerAnswer } from '../../harness/caller-client.js';

/** A completion as its caller saw it. */
export interface SoakCompletion {
  readonly daemon: string;
  readonly keyId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Wall-clock time, in milliseconds. */
  readonly startedMs: number;
  readonly endedMs: number;
  /** Wall-clock time of the last token; 0 when there was none. */
  readonly lastTokenMs: number;
  readonly cancelled: boolean;
  /** Undefined when the connection failed. */
  readonly answer: CallerAnswer | undefined;
  readonly error: string;
}

/** A key that was withdrawn. */
export interface SoakWithdrawal {
  readonly keyId: string;
  /** Wall-clock time at which the withdrawal was acknowledged to the operator. */
  readonly atMs: number;
}

/** Period in which a daemon was not running, in wall-clock time. */
export interface DaemonOutage {
  readonly daemon: string;
  readonly fromMs: number;
  toMs: number;
}

/** Observations of callers and operators in a soak run. */
export interface SoakJournal {
  readonly completions: SoakCompletion[];
  /** Answers of plain services to lookups and orders. */
  readonly answers: CallerAnswer[];
  readonly withdrawals: SoakWithdrawal[];
  readonly outages: DaemonOutage[];
  /** Daemons that exited without being killed, one line each. */
  readonly crashes: string[];
  /** Events that were run or skipped, one line each. */
  readonly events: string[];
  ordersAnswered: number;
  ordersUnanswered: number;
  failedServiceCalls: number;
}

/**
 * Creates a journal.
 *
 * @returns an empty journal
 */
export function createJournal(): SoakJournal {
  return {
    ...{ completions: [], answers: [], withdrawals: [], outages: [], crashes: [], events: [] },
    ...{ ordersAnswered: 0, ordersUnanswered: 0, failedServiceCalls: 0 },
  };
}
