import type { EngineFailureReason } from '../backends/engine-failure.js';

/** What a server does for an attempt. */
export type ServerRole = 'prefill' | 'decode';

const NO_EFFECT_REASONS: ReadonlySet<EngineFailureReason> = new Set(['refused', 'busy']);

/**
 * Tells whether a failure proves that the call had no effect at the engine.
 *
 * @param reason - why the call failed
 * @returns false when the call may have had an effect
 */
export function provesNoEffect(reason: EngineFailureReason): boolean {
  return NO_EFFECT_REASONS.has(reason);
}

/** Servers of one request: those at which its attempt may hold something, and those to avoid. */
export class AttemptServers {
  private readonly heldRoles = new Map<string, Set<ServerRole>>();

  private readonly failed = new Set<string>();

  private readonly busy = new Set<string>();

  private calledServer: string | undefined;

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
    return this.calledServer;
  }

  /** Servers at which the present attempt may hold something. */
  get holdingServers(): readonly string[] {
    return [...this.heldRoles.keys()];
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
    this.calledServer = undefined;
  }

  /** Forgets what the attempt before may hold. */
  beginAttempt(): void {
    this.heldRoles.clear();
    this.calledServer = undefined;
  }

  /**
   * Notes the call of the present step.
   *
   * @param server - name of the server
   * @param role - what the call is for
   */
  recordCall(server: string, role: ServerRole): void {
    this.calledServer = server;
    const roles = this.heldRoles.get(server) ?? new Set<ServerRole>();
    this.heldRoles.set(server, roles.add(role));
  }

  /**
   * Notes that the server of the present step holds nothing in a role any more.
   *
   * @param role - what the server did
   */
  clearCurrentHold(role: ServerRole): void {
    if (this.calledServer) this.clearHold(this.calledServer, role);
  }

  /**
   * Notes that no server holds anything in a role any more.
   *
   * @param role - what the servers did
   */
  clearHolds(role: ServerRole): void {
    this.holdingServers.forEach((server) => this.clearHold(server, role));
  }

  /**
   * Excludes the server of the present step after a failure.
   *
   * @param reason - why its call failed
   * @param role - what a call without effect was for; undefined when the server still holds
   * something from an earlier call
   */
  exclude(reason: EngineFailureReason, role?: ServerRole): void {
    if (!this.calledServer) return;
    if (reason === 'busy') this.busy.add(this.calledServer);
    else this.failed.add(this.calledServer);
    if (role && provesNoEffect(reason)) this.clearCurrentHold(role);
  }

  /** Lets busy servers be chosen again. */
  resetBusy(): void {
    this.busy.clear();
  }

  /**
   * Lets all servers be chosen again.
   *
   * @returns whether the present attempt may hold something at a server that had failed
   */
  resetExcluded(): boolean {
    const held = [...this.failed].some((server) => this.heldRoles.has(server));
    this.busy.clear();
    this.failed.clear();
    return held;
  }

  private clearHold(server: string, role: ServerRole): void {
    const roles = this.heldRoles.get(server);
    roles?.delete(role);
    if (roles?.size === 0) this.heldRoles.delete(server);
  }
}
