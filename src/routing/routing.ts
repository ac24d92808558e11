import type { EngineServer, PlainServer } from '../domain/backend-server.js';
import type { ModelRequest } from '../domain/request.js';
import { Service } from '../kernel/service.js';

/** Load report of an engine; see docs/interfaces.md. */
export interface EngineLoad {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
  /** 0 (idle) to 4 (full). */
  readonly level: number;
  readonly draining: boolean;
  readonly incarnation: string;
}

/** Work that this VM has assigned to an engine and that has not ended. */
export interface Assignment {
  readonly server: string;
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly phase: 'prefill' | 'decode';
  readonly blocks: number;
  readonly promptTokens: number;
  /** True when the request is suspected of crashing engines. */
  readonly suspect: boolean;
}

/** Chooses servers from configuration, reported load and this VM's own recent choices. */
export abstract class Routing extends Service {
  /**
   * Chooses an engine for the decode phase.
   *
   * @param request - the request
   * @param blocks - KV blocks that the request needs
   * @param excluded - names of servers that must not be chosen
   * @param suspect - true when the request is a suspect; it must not share a server with another
   * one
   * @returns a server, or undefined when none has enough free capacity
   */
  abstract chooseDecode(
    request: ModelRequest,
    blocks: number,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined;

  /**
   * Chooses an engine for the prefill phase.
   *
   * @param request - the request
   * @param excluded - names of servers that must not be chosen
   * @param suspect - true when the request is a suspect; it must not share a server with another
   * one
   * @returns a server, or undefined when none is usable
   */
  abstract choosePrefill(
    request: ModelRequest,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined;

  /**
   * Chooses a plain server of a pool.
   *
   * @param pool - name of the pool
   * @param excluded - names of servers that must not be chosen
   * @returns a server, or undefined when none is usable
   */
  abstract chooseService(pool: string, excluded: ReadonlySet<string>): PlainServer | undefined;

  /**
   * Estimates how many more requests of a model can start to decode now.
   *
   * @param model - name of the model
   * @returns estimated number of free decode slots
   */
  abstract headroom(model: string): number;

  /**
   * Counts the decode slots that this VM can use, whether free or taken.
   *
   * @param model - name of the model
   * @returns decode slots of the usable engines
   */
  abstract decodeSlots(model: string): number;

  /**
   * Estimates the time until a prefill that is sent now would start or, with `ownTokens`, end.
   *
   * @param model - name of the model
   * @param ownTokens - prompt tokens of the prefill itself, to estimate its end; default: 0
   * @returns milliseconds
   */
  abstract prefillWaitMs(model: string, ownTokens?: number): number;

  /**
   * Records that work was assigned to an engine.
   *
   * @param assignment - the work
   */
  abstract assign(assignment: Assignment): void;

  /**
   * Records that work has ended.
   *
   * @param attemptId - the attempt
   * @param server - name of the server
   * @param phase - the phase that ended; undefined ends both
   */
  abstract unassign(attemptId: string, server: string, phase?: Assignment['phase']): void;

  /**
   * Records how long a prefill took. Must be called before the prefill is unassigned.
   *
   * @param attemptId - the attempt
   * @param server - name of the server
   * @param computedTokens - prompt tokens that were computed, that is, not taken from the cache
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  observePrefill(attemptId: string, server: string, computedTokens: number): void {}

  /**
   * Returns the incarnation that an engine last reported.
   *
   * @param server - name of the server
   * @returns the incarnation, or undefined when none was reported
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  incarnation(server: string): string | undefined {
    return undefined;
  }

  /**
   * Records the load that an engine reported with a response to a request or to a poll.
   *
   * @param server - name of the server
   * @param load - the load
   */
  abstract observeLoad(server: string, load: EngineLoad): void;

  /**
   * Records a failed call: refused, reset, without a response or timed out.
   *
   * @param server - name of the server
   * @param died - true when the server refuses connections
   */
  abstract observeFailure(server: string, died: boolean): void;

  /**
   * Records that a plain server announced that it drains and accepts no more work.
   *
   * @param server - name of the server
   */
  abstract observeDraining(server: string): void;
}

declare module '../kernel/service.js' {
  interface Services {
    routing: Routing;
  }
}
