import type { EngineServer } from '../domain/backend-server.js';
import type { AnswerEvent, ModelRequest } from '../domain/request.js';
import type { Kernel } from '../kernel/kernel.js';
import type { RequestSpan } from '../observability/request-span.js';
import type { SpanName } from '../observability/traces.js';

/** Writes the spans, decision records and metrics of one run. */
export class RunTelemetry {
  private constructor(
    private readonly kernel: Kernel,
    private readonly request: ModelRequest,
    private readonly attemptId: () => string,
  ) {}

  /**
   * Creates the telemetry of a run.
   *
   * @param kernel - registry of services
   * @param request - the request
   * @param attemptId - returns the id of the current attempt
   * @returns telemetry without entries
   */
  static create(kernel: Kernel, request: ModelRequest, attemptId: () => string): RunTelemetry {
    return new RunTelemetry(kernel, request, attemptId);
  }

  /**
   * Begins a span of the current attempt.
   *
   * @param spanName - name of the span
   * @param server - server that is called
   * @returns a span in progress
   */
  beginSpan(spanName: SpanName, server?: EngineServer): RequestSpan {
    const facts = { requestId: this.request.requestId, attemptId: this.attemptId() };
    const attributes = server ? { ...facts, server: server.name } : facts;
    return this.kernel.find('traces').startSpan(spanName, this.request.traceparent, attributes);
  }

  /**
   * Records a decision.
   *
   * @param step - name of the decision
   * @param choice - result of the decision
   * @param reason - reason for the result
   * @param facts - values that the decision was based on
   */
  recordDecision(
    step: string,
    choice: string,
    reason: string,
    facts: Readonly<Record<string, string | number | boolean>> = {},
  ): void {
    const { requestId } = this.request;
    const all = { ...facts, attemptId: this.attemptId() };
    this.kernel.find('decisions').record({ requestId, step, choice, reason, facts: all });
  }

  /**
   * Records the choice of a server.
   *
   * @param step - name of the decision
   * @param server - the server
   * @param facts - values that the choice was based on
   */
  recordServerChoice(step: string, server: EngineServer, facts: Record<string, number>): void {
    this.recordDecision(step, server.name, 'chosen by load, zone and cached prefixes', facts);
  }

  /**
   * Counts prefill tokens whose result was lost.
   *
   * @param tokens - prompt tokens
   * @param cause - reason why the result was lost
   */
  recordWaste(tokens: number, cause: string): void {
    const metrics = this.kernel.find('metrics');
    metrics.increment('execution.wasted_prefill_tokens', { cause }, tokens);
    this.recordDecision('prefill', 'wasted', cause, { tokens });
  }

  /**
   * Records the time to the first token.
   *
   * @param nowMs - time of the first token on the monotonic clock, in milliseconds
   */
  recordFirstToken(nowMs: number): void {
    this.kernel.find('metrics').timing('execution.first_token', nowMs - this.request.arrivedMs);
  }

  /**
   * Records the outcome of the run.
   *
   * @param event - last event of the answer
   */
  recordOutcome(event: Exclude<AnswerEvent, { kind: 'token' }>): void {
    const code = event.kind === 'error' ? event.refusal.code : event.reason;
    const reason = event.kind === 'error' ? event.refusal.message : 'the answer is complete';
    this.recordDecision('outcome', code, reason);
    this.kernel.find('metrics').increment('execution.finished', { outcome: code });
  }
}
