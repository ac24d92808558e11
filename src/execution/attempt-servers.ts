import type { EngineFailureReason } from '../backends/engine-failure.js';

/** Role of a server in an attempt. */
export type ServerRole = 'prefill' | 'decode';

const NO_EFFECT_REASONS: ReadonlySet<EngineFailureReason> = new Set(['refused', 'busy']);

/**
 * Checks whether a failure proves that the call had no effect at the engine.
 *
 * @param reason - why the call failed
 * @returns false when the call may have had an effect
 */
export function provesNoEffect(reason: EngineFailureReason): boolean {
  return NO_EFFECT_REASONS.has(reason);
}

/** Servers of one request: those at which its attempt may hold resources, and the excluded ones. */
export class AttemptServers {
  private readonly heldRoles = new Map<string, Set<ServerRole>>();

  private readonly failed = new Set<string>();

  private readonly busy = new Set<string>();

  private calledServer: string | undefined;

  /**
   * Creates the state of a request that has not called any server.
   *
   * @returns an empty set of servers
   */
  static create(): AttemptServers {
    return new AttemptServers();
  }

  /** Server that the current step has called. */
  get current(): string | undefined {
    return this.calledServer;
  }

  /** Servers at which the current attempt may hold resources. */
  get holdingServers(): readonly string[] {
    return [...this.heldRoles.keys()];
  }

  /** Servers that must not be chosen now. */
  get excluded(): ReadonlySet<string> {
    return new Set([...this.failed, ...this.busy]);
  }

  /** Whether a server has failed since the exclusions were last reset. */
  get anyFailed(): boolean {
    return this.failed.size > 0;
  }

  /** Clears the server that the previous step called. */
  beginStep(): void {
    this.calledServer = undefined;
  }

  /** Clears the holds of the previous attempt. */
  beginAttempt(): void {
    this.heldRoles.clear();
    this.calledServer = undefined;
  }

  /**
   * Records the call of the current step.
   *
   * @param server - name of the server
   * @param role - role in which the server is called
   */
  recordCall(server: string, role: ServerRole): void {
    this.calledServer = server;
    const roles = this.heldRoles.get(server) ?? new Set<ServerRole>();
    this.heldRoles.set(server, roles.add(role));
  }

  /**
   * Records that the server of the current step holds no resources for a role any more.
   *
   * @param role - role of the server
   */
  clearCurrentHold(role: ServerRole): void {
    if (this.calledServer) this.clearHold(this.calledServer, role);
  }

  /**
   * Records that no server holds resources for a role any more.
   *
   * @param role - role of the servers
   */
  clearHolds(role: ServerRole): void {
    this.holdingServers.forEach((server) => this.clearHold(server, role));
  }

  /**
   * Excludes the server of the current step after a failure.
   *
   * @param reason - why its call failed
   * @param role - role whose hold is cleared when the call had no effect; undefined when the server
   * still holds resources from an earlier call
   */
  exclude(reason: EngineFailureReason, role?: ServerRole): void {
    if (!this.calledServer) return;
    if (reason === 'busy') this.busy.add(this.calledServer);
    else this.failed.add(this.calledServer);
    if (role && provesNoEffect(reason)) this.clearCurrentHold(role);
  }

  /** Allows busy servers to be chosen again. */
  resetBusy(): void {
    this.busy.clear();
  }

  /**
   * Allows all servers to be chosen again.
   *
   * @returns whether the current attempt may hold resources at a server that had failed
   */
  resetExcluded(): boolean {
    const hasHolds = [...this.failed].some((server) => this.heldRoles.has(server));
    this.busy.clear();
    this.failed.clear();
    return hasHolds;
  }

  private clearHold(server: string, role: ServerRole): void {
    const roles = this.heldRoles.get(server);
    roles?.delete(role);
    if (roles?.size === 0) this.heldRoles.delete(server);
  }
}
