import type { Refusal } from '../domain/refusal.js';

/** Part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's request as the relay sees it; its content is opaque. */
export interface RelayRequest {
  readonly requestId: string;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Names and values in turn, without those of the connection, the key, or the router's own. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly key: string | undefined;
  /** Monotonic time at which the caller gives up, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Tokens of the prompt; undefined for requests that state none. */
  readonly promptTokens: number | undefined;
  /** Most tokens of the answer. */
  readonly outputTokens: number;
  /** The caller's guess at the tokens of the answer; right at the median, often far off. */
  readonly expectedTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
}

/** Head of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, without those of the connection. */
  readonly headers: readonly string[];
  /**
   * False when the body ends with its connection. Such a body cannot be told from one that was cut, so
   * it is passed on in the same way and not given an end of its own.
   */
  readonly framed: boolean;
}

/** Where an answer goes. */
export abstract class AnswerSink {
  /** True when the caller has left. */
  abstract readonly closed: boolean;

  /** Answers with a refusal of the router's own; nothing may have been sent before. */
  abstract refuse(refusal: Refusal): void;

  /** Sends the head. */
  abstract writeHead(head: AnswerHead): void;

  /**
   * Sends a piece of the body.
   *
   * @param piece - bytes of the server
   * @returns a promise when the caller reads too slowly, which resolves when there is room
   */
  abstract write(piece: Buffer): Promise<void> | undefined;

  /** Completes the answer. */
  abstract end(): void;

  /** Breaks the answer off so that it cannot be taken for a whole one. */
  abstract abort(): void;
}
