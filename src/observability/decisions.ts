import { Service } from '../kernel/service.js';

/** A decision that the router made about a request, such as admission or the choice of a server. */
export interface DecisionEntry {
  readonly requestId: string;
  /** Wall clock, in milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly vm: string;
  /** Step that was decided, for example `admission` or `decode-server`. */
  readonly step: string;
  readonly choice: string;
  readonly reason: string;
  readonly facts: Readonly<Record<string, string | number | boolean>>;
}

/** Records recent decisions about requests and finds them by request, to explain a response. */
export abstract class Decisions extends Service {
  /**
   * Records a decision of this VM.
   *
   * @param entry - the decision, to which time and VM are added
   */
  abstract record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void;

  /**
   * Finds the decisions about one request on this VM and its peers.
   *
   * @param requestId - id of the request
   * @returns the decisions in order of time
   */
  abstract explain(requestId: string): Promise<readonly DecisionEntry[]>;
}

declare module '../kernel/service.js' {
  interface Services {
    decisions: Decisions;
  }
}
