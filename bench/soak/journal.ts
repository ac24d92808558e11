import type { CallerAnswer } from '../../harness/caller-client.js';

/** A completion as its caller saw it. */
export interface SoakCompletion {
  readonly daemon: string;
  readonly keyId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Wall clock, in milliseconds. */
  readonly startedMs: number;
  readonly endedMs: number;
  /** Wall clock at the last token; 0 when there was none. */
  readonly lastTokenMs: number;
  readonly cancelled: boolean;
  /** Undefined when the connection broke. */
  readonly answer: CallerAnswer | undefined;
  readonly error: string;
}

/** A key that was withdrawn. */
export interface SoakWithdrawal {
  readonly keyId: string;
  /** When an operator was told that the withdrawal stands, on the wall clock. */
  readonly atMs: number;
}

/** A time in which a daemon did not run, on the wall clock. */
export interface DaemonOutage {
  readonly daemon: string;
  readonly fromMs: number;
  toMs: number;
}

/** What callers and operators saw in a soak run. */
export interface SoakJournal {
  readonly completions: SoakCompletion[];
  /** Answers of plain services, of lookups and orders. */
  readonly answers: CallerAnswer[];
  readonly withdrawals: SoakWithdrawal[];
  readonly outages: DaemonOutage[];
  /** Daemons that ended without being killed, one line each. */
  readonly crashes: string[];
  /** Events that were carried out or passed over, one line each. */
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
