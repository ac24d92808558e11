import type { Grant } from '../admission/grant.js';
import type { Refusal } from '../domain/refusal.js';
import type { ServiceRequest } from '../domain/request.js';
import type { Route } from '../domain/route.js';
import { succeed, type Outcome } from '../kernel/outcome.js';

/** A request to a plain service in progress, with the tokens debited for its next sending. */
export class ServiceJob {
  private grant: Grant | undefined;

  private constructor(
    readonly request: ServiceRequest,
    readonly route: Route,
    readonly signal: AbortSignal,
  ) {}

  /**
   * Creates a job without tokens.
   *
   * @param request - the request
   * @param route - the matched route
   * @param signal - aborts when the caller has gone
   * @returns a new job
   */
  static create(request: ServiceRequest, route: Route, signal: AbortSignal): ServiceJob {
    return new ServiceJob(request, route, signal);
  }

  /** True when tokens are held that may still be used, or none are needed. */
  get sendable(): boolean {
    return !this.request.team || (this.grant?.sendable() ?? false);
  }

  /** True when tokens are held, even if their debit has become too old. */
  get hasGrant(): boolean {
    return !this.request.team || this.grant !== undefined;
  }

  /**
   * Makes the debit of the tokens held again; the request keeps its place.
   *
   * @returns nothing, or a refusal when the team has no tokens in time
   */
  async renewGrant(): Promise<Outcome<void, Refusal>> {
    return (await this.grant?.renew()) ?? succeed(undefined);
  }

  /**
   * Replaces the tokens held; unused ones are refunded.
   *
   * @param grant - newly debited tokens
   */
  replaceGrant(grant: Grant | undefined): void {
    this.grant?.settle(0);
    this.grant = grant;
  }

  /** Spends the tokens held, right before a sending; another sending needs new ones. */
  consumeGrant(): void {
    this.grant?.settle(this.route.tokens);
    this.grant = undefined;
  }
}
