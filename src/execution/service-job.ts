import type { Grant } from '../admission/grant.js';
import type { Refusal } from '../domain/refusal.js';
import type { ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import { succeed, type Outcome } from '../kernel/outcome.js';

/** A request in progress to a plain service, with the tokens debited for its next send. */
export class ServiceJob {
  private grant: Grant | undefined;

  private constructor(
    readonly request: ServiceRequest,
    readonly route: Route,
    readonly signal: AbortSignal,
  ) {}

  /**
   * Creates a job without a grant.
   *
   * @param request - the request
   * @param route - the matched route
   * @param signal - aborts when the caller disconnects
   * @returns a new job
   */
  static create(request: ServiceRequest, route: Route, signal: AbortSignal): ServiceJob {
    return new ServiceJob(request, route, signal);
  }

  /** Whether the grant may still be used, or the request needs none. */
  get sendable(): boolean {
    return !this.request.team || (this.grant?.sendable() ?? false);
  }

  /** Whether there is a grant, even if its debit has become too old, or the request needs none. */
  get hasGrant(): boolean {
    return !this.request.team || this.grant !== undefined;
  }

  /**
   * Repeats the debit of the grant; the request keeps its place in the queue.
   *
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  async renewGrant(): Promise<Outcome<void, Refusal>> {
    return (await this.grant?.renew()) ?? succeed(undefined);
  }

  /**
   * Replaces the grant; the tokens of an unused grant are refunded.
   *
   * @param grant - the new grant; undefined to have none
   */
  replaceGrant(grant: Grant | undefined): void {
    this.grant?.settle(0);
    this.grant = grant;
  }

  /** Settles the grant as used, right before a send; another send needs a new grant. */
  consumeGrant(): void {
    this.grant?.settle(this.route.tokens);
    this.grant = undefined;
  }
}
