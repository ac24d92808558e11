import type { DesiredEngine, DesiredOrder } from './desired-orders.js';

/** Initial and maximum delay before a failed step is retried, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 250;
export const MAX_RETRY_DELAY_MS = 5000;

/**
 * Interval between two checks of the incarnation of an engine, in milliseconds: a part that grows
 * with each engine of the configuration, and the minimum. With 1,000 engines the commander makes 17
 * calls a second.
 */
const CHECK_INTERVAL_PER_ENGINE_MS = 60;
const MIN_CHECK_INTERVAL_MS = 3000;

/** Maximum number of steps in progress at a time. */
const MAX_CONCURRENT_STEPS = 32;

/**
 * Result of an order: `acknowledged`; `unknown`, it may have taken effect or may still do so;
 * `failed`, it had no effect.
 */
export type OrderResult = 'acknowledged' | 'unknown' | 'failed';

/** The next step for an engine: check its incarnation, or send it an order. */
export interface OrderStep {
  readonly engine: DesiredEngine;
  /** Undefined for a check of the incarnation. */
  readonly order: DesiredOrder | undefined;
}

/** A step that sends an order. */
export interface SendStep extends OrderStep {
  readonly order: DesiredOrder;
}

interface Retry {
  readonly failures: number;
  readonly atMs: number;
}

interface EngineEntry {
  /** Values that the current incarnation has acknowledged, by subject. */
  readonly acknowledged: Map<string, string>;
  readonly retries: Map<string, Retry>;
  incarnation: string | undefined;
  nextCheckMs: number;
  failedChecks: number;
  blockedUntilMs: number;
  busy: boolean;
}

/**
 * Tracks which orders of one term have been acknowledged, and selects the steps that are due. Only
 * one step at a time is in progress at an engine, so that two orders of one term cannot overtake each
 * other.
 */
export class OrderTracker {
  private readonly entries = new Map<string, EngineEntry>();

  private desired: readonly DesiredEngine[] = [];

  private stepsInProgress = 0;

  private constructor(private readonly maxDeliveryMs: number) {}

  /**
   * Creates the tracker of a term without acknowledged orders.
   *
   * @param maxDeliveryMs - maximum time between the sending of an order and its effect, in milliseconds
   * @returns a new tracker
   */
  static create(maxDeliveryMs: number): OrderTracker {
    return new OrderTracker(maxDeliveryMs);
  }

  /**
   * Replaces the desired state of the engines.
   *
   * @param desired - desired state of every engine of the configuration
   */
  setDesired(desired: readonly DesiredEngine[]): void {
    this.desired = desired;
    const engines = new Map(desired.map((engine) => [keyOf(engine), engine]));
    [...this.entries].forEach(([name, entry]) => {
      const engine = engines.get(name);
      // A step in progress still counts against the maximum, and its entry must not be replaced.
      if (!engine && !entry.busy) this.entries.delete(name);
      const subjects = new Set(engine?.orders.map(({ subject }) => subject));
      [...entry.acknowledged.keys()]
        .filter((subject) => !subjects.has(subject))
        .forEach((subject) => entry.acknowledged.delete(subject));
    });
  }

  /**
   * Selects the steps that are due and marks them as in progress.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param maySend - checks whether orders may be sent to an engine now
   * @returns the steps; each must be followed by `recordIncarnation` or `recordResult`
   */
  takeDueSteps(nowMs: number, maySend: (engine: DesiredEngine) => boolean): readonly OrderStep[] {
    const steps: OrderStep[] = [];
    for (const engine of this.desired) {
      if (this.stepsInProgress >= MAX_CONCURRENT_STEPS) break;
      const entry = this.entryOf(engine);
      const step = maySend(engine) ? this.findStep(engine, entry, nowMs) : undefined;
      if (!step) continue;
      entry.busy = true;
      this.stepsInProgress += 1;
      steps.push(step);
    }
    return steps;
  }

  /**
   * Records the incarnation of an engine. Orders that an earlier one acknowledged are sent again.
   *
   * @param engine - the engine
   * @param incarnation - incarnation that it reported; undefined when it did not answer
   * @param nowMs - monotonic time, in milliseconds
   */
  recordIncarnation(engine: DesiredEngine, incarnation: string | undefined, nowMs: number): void {
    const entry = this.endStep(engine);
    if (incarnation === undefined) {
      entry.nextCheckMs = nowMs + retryDelayMs(entry.failedChecks);
      entry.failedChecks += 1;
      return;
    }
    if (incarnation !== entry.incarnation) {
      entry.acknowledged.clear();
      entry.retries.clear();
    }
    entry.incarnation = incarnation;
    entry.failedChecks = 0;
    entry.nextCheckMs =
      nowMs + Math.max(MIN_CHECK_INTERVAL_MS, this.desired.length * CHECK_INTERVAL_PER_ENGINE_MS);
  }

  /**
   * Records the result of an order.
   *
   * @param step - the engine and the order
   * @param result - result of the order
   * @param sentMs - latest monotonic time at which the order was written, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   */
  recordResult(
    { engine, order }: SendStep,
    result: OrderResult,
    sentMs: number,
    nowMs: number,
  ): void {
    const entry = this.endStep(engine);
    if (result === 'acknowledged') {
      entry.acknowledged.set(order.subject, order.value);
      entry.retries.delete(order.subject);
      return;
    }
    // The next order waits until this one can no longer take effect, so that they cannot change order.
    if (result === 'unknown') {
      entry.blockedUntilMs = sentMs + this.maxDeliveryMs;
      entry.acknowledged.delete(order.subject);
    }
    const failures = entry.retries.get(order.subject)?.failures ?? 0;
    const atMs = nowMs + retryDelayMs(failures);
    entry.retries.set(order.subject, { failures: failures + 1, atMs });
  }

  /** Counts the orders that have not been acknowledged. */
  pending(): number {
    return this.desired.reduce((sum, engine) => sum + this.listUnacknowledged(engine).length, 0);
  }

  private findStep(
    engine: DesiredEngine,
    entry: EngineEntry,
    nowMs: number,
  ): OrderStep | undefined {
    if (entry.busy || nowMs < entry.blockedUntilMs) return undefined;
    if (nowMs >= entry.nextCheckMs) return { engine, order: undefined };
    if (entry.incarnation === undefined || entry.failedChecks > 0) return undefined;
    const order = this.listUnacknowledged(engine).find(
      ({ subject }) => nowMs >= (entry.retries.get(subject)?.atMs ?? 0),
    );
    return order && { engine, order };
  }

  private listUnacknowledged(engine: DesiredEngine): readonly DesiredOrder[] {
    const { acknowledged } = this.entryOf(engine);
    return engine.orders.filter(({ subject, value }) => acknowledged.get(subject) !== value);
  }

  private entryOf(engine: DesiredEngine): EngineEntry {
    const name = keyOf(engine);
    const entry = this.entries.get(name) ?? createEntry();
    this.entries.set(name, entry);
    return entry;
  }

  private endStep(engine: DesiredEngine): EngineEntry {
    this.stepsInProgress -= 1;
    const entry = this.entryOf(engine);
    entry.busy = false;
    return entry;
  }
}

/** Returns the key of an engine. An engine with a new address counts as another engine. */
function keyOf({ server }: DesiredEngine): string {
  return `${server.name}@${server.address.host}:${server.address.port}`;
}

function retryDelayMs(failures: number): number {
  return Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** failures);
}

function createEntry(): EngineEntry {
  return {
    ...{ acknowledged: new Map(), retries: new Map(), incarnation: undefined },
    ...{ nextCheckMs: -Infinity, failedChecks: 0, blockedUntilMs: -Infinity, busy: false },
  };
}
