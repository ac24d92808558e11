import type { EngineFailureReason } from '../backends/engine-failure.js';

/** What a server does for an attempt. */
export type ServerRole = 'prefill' | 'decode';

const WITHOUT_EFFECT: ReadonlySet<EngineFailureReason> = new Set(['refused', 'busy']);

/**
 * Tells whether a failure proves that the call had no effect at the engine.
 *
 * @param reason - why the call failed
 * @returns false when the call may have had an effect
 */
export function provesNoEffect(reason: EngineFailureReason): boolean {
  return WITHOUT_EFFECT.has(reason);
}

/** Servers of one request: those at which its attempt may hold something, and those to avoid. */
export class AttemptServers {
  private readonly holding = new Map<string, Set<ServerRole>>();

  private readonly failed = new Set<string>();

  private readonly busy = new Set<string>();

  private called: string | undefined;

  /**
   * Creates the servers of a request that has called none.
   *
   * @returns an empty set of servers
   */
  static create(): AttemptServers {
    return new AttemptServers();
  }

  /** Server that the present step has called. */
  get current(): string | undefined {
    return this.called;
  }

  /** Servers at which the present attempt may hold something. */
  get holders(): readonly string[] {
    return [...this.holding.keys()];
  }

  /** Servers that are not to be chosen now. */
  get excluded(): ReadonlySet<string> {
    return new Set([...this.failed, ...this.busy]);
  }

  /** Whether a server has failed since the last pause. */
  get anyFailed(): boolean {
    return this.failed.size > 0;
  }

  /** Forgets the server of the step before. */
  beginStep(): void {
    this.called = undefined;
  }

  /** Forgets what the attempt before may hold. */
  beginAttempt(): void {
    this.holding.clear();
    this.called = undefined;
  }

  /**
   * Notes the call of the present step.
   *
   * @param server - name of the server
   * @param role - what the call is for
   */
  call(server: string, role: ServerRole): void {
    this.called = server;
    const roles = this.holding.get(server) ?? new Set<ServerRole>();
    this.holding.set(server, roles.add(role));
  }

  /**
   * Notes that the server of the present step holds nothing in a role any more.
   *
   * @param role - what the server did
   */
  clearCurrent(role: ServerRole): void {
    if (this.called) this.clear(this.called, role);
  }

  /**
   * Notes that no server holds anything in a role any more.
   *
   * @param role - what the servers did
   */
  clearAll(role: ServerRole): void {
    this.holders.forEach((server) => this.clear(server, role));
  }

  /**
   * Excludes the server of the present step after a failure.
   *
   * @param reason - why its call failed
   * @param role - what a call without effect was for; undefined when the server still holds
   * something from an earlier call
   */
  exclude(reason: EngineFailureReason, role?: ServerRole): void {
    if (!this.called) return;
    if (reason === 'busy') this.busy.add(this.called);
    else this.failed.add(this.called);
    if (role && provesNoEffect(reason)) this.clearCurrent(role);
  }

  /** Lets busy servers be chosen again. */
  readmitBusy(): void {
    this.busy.clear();
  }

  /**
   * Lets all servers be chosen again.
   *
   * @returns whether the present attempt may hold something at a server that had failed
   */
  readmitAll(): boolean {
    const held = [...this.failed].some((server) => this.holding.has(server));
    this.busy.clear();
    this.failed.clear();
    return held;
  }

  private clear(server: string, role: ServerRole): void {
    const roles = this.holding.get(server);
    roles?.delete(role);
    if (roles?.size === 0) this.holding.delete(server);
  }
}
