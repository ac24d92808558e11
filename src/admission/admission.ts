import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { Grant } from './grant.js';

/** A request that wants tokens and a turn. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly team: string;
  /** Model whose capacity is needed; undefined for plain services. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly fingerprint: string;
  /** Monotonic time of arrival, in milliseconds; a request that is admitted again keeps its place. */
  readonly arrivedMs: number;
  readonly signal: AbortSignal;
}

/** Decides when a request may run, and charges its team. */
export abstract class Admission extends Service {
  /**
   * Waits for a turn in the fair queue and for tokens.
   *
   * @param request - the request
   * @returns a grant, or a refusal that is "not run"
   */
  abstract admit(request: AdmissionRequest): Promise<Outcome<Grant, Refusal>>;

  /**
   * Names the VMs that hold a team's shares.
   *
   * @param team - name of the team
   * @returns names of its home VMs, the preferred one first
   */
  abstract homes(team: string): readonly string[];

  /**
   * Counts the death of a backend server against the requests that were aboard.
   *
   * @param server - name of the server
   * @param fingerprints - fingerprints of the requests that ran there
   * @param incarnation - incarnation that died; undefined when it is not known
   * @returns a promise that resolves when peers know, or after a short deadline
   */
  abstract reportDeath(
    server: string,
    fingerprints: readonly string[],
    incarnation?: string,
  ): Promise<void>;

  /** Tells the queue that capacity may have become free. */
  abstract capacityChanged(): void;
}

declare module '../kernel/service.js' {
  interface Services {
    admission: Admission;
  }
}
