import type { Refusal } from '../domain/refusal.js';
import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';
import type { Grant } from './grant.js';

/** A request that needs tokens and capacity. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly team: string;
  /** Model whose capacity is needed; undefined for plain services. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly fingerprint: string;
  /**
   * Monotonic time of arrival, in milliseconds. A request that is admitted again passes its first
   * arrival and so keeps its place in the queue.
   */
  readonly arrivedMs: number;
  readonly signal: AbortSignal;
}

/** Decides when a request may run, and charges its tokens to the team. */
export abstract class Admission extends Service {
  /**
   * Waits in the fair queue for capacity, and for tokens of the team.
   *
   * @param request - the request
   * @returns a grant, or a refusal that is "not run"
   */
  abstract admit(request: AdmissionRequest): Promise<Outcome<Grant, Refusal>>;

  /**
   * Lists the home VMs of a team. Each holds a share of the team's token bucket.
   *
   * @param team - name of the team
   * @returns VM names, the preferred home first
   */
  abstract homes(team: string): readonly string[];

  /**
   * Records the death of a backend server against the requests that were running on it.
   *
   * @param server - name of the server
   * @param fingerprints - fingerprints of the requests that ran there
   * @param incarnation - incarnation of the server that died; undefined when it is not known
   * @returns a promise that resolves when peers know, or after a short deadline
   */
  abstract reportDeath(
    server: string,
    fingerprints: readonly string[],
    incarnation?: string,
  ): Promise<void>;

  /** Notifies the queue that capacity may have become free. */
  abstract capacityChanged(): void;
}

declare module '../kernel/service.js' {
  interface Services {
    admission: Admission;
  }
}
