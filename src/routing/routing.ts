import type { EngineServer, PlainServer } from '../domain/backend-server.js';
import type { ModelRequest } from '../domain/request.js';
import { Service } from '../kernel/service.js';

/** Load of an engine as it reports it; see docs/interfaces.md. */
export interface EngineLoad {
  readonly slotsFree: number;
  readonly blocksFree: number;
  readonly queuedPrefillTokens: number;
  /** 0 (idle) to 4 (full). */
  readonly level: number;
  readonly draining: boolean;
  readonly incarnation: string;
}

/** Work that this VM has given to an engine and that has not ended. */
export interface Assignment {
  readonly server: string;
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly phase: 'prefill' | 'decode';
  readonly blocks: number;
  readonly promptTokens: number;
  readonly suspect: boolean;
}

/** Chooses servers from configuration, reported load and this VM's own recent choices. */
export abstract class Routing extends Service {
  /**
   * Chooses an engine to decode on.
   *
   * @param request - the request
   * @param blocks - KV blocks that it needs
   * @param excluded - names of servers not to choose
   * @param suspect - true when no other suspect may run there
   * @returns a server, or undefined when none has room
   */
  abstract chooseDecode(
    request: ModelRequest,
    blocks: number,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined;

  /**
   * Chooses an engine to prefill on.
   *
   * @param request - the request
   * @param excluded - names of servers not to choose
   * @param suspect - true when no other suspect may run there
   * @returns a server, or undefined when there is none
   */
  abstract choosePrefill(
    request: ModelRequest,
    excluded: ReadonlySet<string>,
    suspect: boolean,
  ): EngineServer | undefined;

  /**
   * Chooses a plain server.
   *
   * @param pool - name of the pool
   * @param excluded - names of servers not to choose
   * @returns a server, or undefined when there is none
   */
  abstract chooseService(pool: string, excluded: ReadonlySet<string>): PlainServer | undefined;

  /**
   * Estimates how many more requests of a model can be decoded now.
   *
   * @param model - name of the model
   * @returns free decode slots as far as this VM knows
   */
  abstract headroom(model: string): number;

  /**
   * Counts the decode slots that this VM may use, free or not.
   *
   * @param model - name of the model
   * @returns slots of the usable engines
   */
  abstract decodeSlots(model: string): number;

  /**
   * Estimates the wait before a prefill that is sent now would begin, or end.
   *
   * @param model - name of the model
   * @param ownTokens - tokens of the prefill itself, when its end is wanted
   * @returns milliseconds
   */
  abstract prefillWaitMs(model: string, ownTokens?: number): number;

  /**
   * Notes that work was given to an engine.
   *
   * @param assignment - the work
   */
  abstract assign(assignment: Assignment): void;

  /**
   * Notes that work has ended.
   *
   * @param attemptId - the attempt
   * @param server - name of the server
   * @param phase - the phase that ended; undefined ends both
   */
  abstract unassign(attemptId: string, server: string, phase?: Assignment['phase']): void;

  /**
   * Notes how long a prefill took that was assigned and is not unassigned yet.
   *
   * @param attemptId - the attempt
   * @param server - name of the server
   * @param computedTokens - prompt tokens that were not cached
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  observePrefill(attemptId: string, server: string, computedTokens: number): void {}

  /**
   * Reads the incarnation that an engine last reported.
   *
   * @param server - name of the server
   * @returns the incarnation, or undefined when none was reported
   */
  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  incarnation(server: string): string | undefined {
    return undefined;
  }

  /**
   * Notes the load that came with an answer.
   *
   * @param server - name of the server
   * @param load - the load
   */
  abstract observeLoad(server: string, load: EngineLoad): void;

  /**
   * Notes a call that failed: refused, reset, silent or timed out.
   *
   * @param server - name of the server
   * @param died - true when connections to it are refused
   */
  abstract observeFailure(server: string, died: boolean): void;

  /**
   * Notes that a plain server asked for no more work.
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
