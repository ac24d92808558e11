import type { Refusal } from '../domain/refusal.js';
import type { AnswerEvent, ModelAnswer } from '../domain/request.js';
import { Channel } from '../kernel/channel.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';

/**
 * The answer to a request before and after its first event. An error as the first event becomes a
 * refusal; later events are passed on as a stream.
 */
export class PendingAnswer {
  /** Resolves with the first event. */
  readonly first: Promise<Outcome<ModelAnswer, Refusal>>;

  /** Resolves after the last event. */
  readonly finished: Promise<void>;

  private readonly events = Channel.create<AnswerEvent>();

  private settleFirst: ((outcome: Outcome<ModelAnswer, Refusal>) => void) | undefined;

  private resolveFinished: (() => void) | undefined;

  private constructor() {
    this.first = new Promise((resolve) => {
      this.settleFirst = resolve;
    });
    this.finished = new Promise((resolve) => {
      this.resolveFinished = resolve;
    });
  }

  /**
   * Creates an answer.
   *
   * @returns an answer without events
   */
  static create(): PendingAnswer {
    return new PendingAnswer();
  }

  /** Whether an event has been pushed. */
  get started(): boolean {
    return this.settleFirst === undefined;
  }

  /**
   * Passes an event on to the caller; any event other than a token is the last one.
   *
   * @param event - next event of the answer
   */
  push(event: AnswerEvent): void {
    const { settleFirst } = this;
    this.settleFirst = undefined;
    if (event.kind === 'error') settleFirst?.(fail(event.refusal));
    else settleFirst?.(succeed({ events: this.events.stream() }));
    this.events.push(event);
    if (event.kind !== 'token') this.events.end();
  }

  /** Resolves `finished`. */
  finish(): void {
    this.resolveFinished?.();
  }
}
