import { Service } from '../kernel/service.js';

/** One decision about a request. */
export interface DecisionEntry {
  readonly requestId: string;
  /** Wall clock, in milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly vm: string;
  /** What was decided, for example `admission` or `decode-server`. */
  readonly step: string;
  readonly choice: string;
  readonly reason: string;
  readonly facts: Readonly<Record<string, string | number | boolean>>;
}

/** Keeps recent decisions and copies a selection of them to a peer in another zone. */
export abstract class Decisions extends Service {
  /**
   * Records a decision of this VM.
   *
   * @param entry - the decision without time and VM
   */
  abstract record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void;

  /**
   * Finds decisions about one request, on this VM and on its peers.
   *
   * @param requestId - the request
   * @returns the decisions in order of time
   */
  abstract explain(requestId: string): Promise<readonly DecisionEntry[]>;
}

declare module '../kernel/service.js' {
  interface Services {
    decisions: Decisions;
  }
}
