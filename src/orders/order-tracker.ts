import type { DesiredEngine, DesiredOrder } from './desired-orders.js';

/** First and longest wait before a failed step is repeated, in milliseconds. */
const INITIAL_RETRY_DELAY_MS = 250;
export const MAX_RETRY_DELAY_MS = 5000;

/**
 * Time between two looks at an engine's incarnation, for each engine and at least, in milliseconds.
 * With 1,000 engines the commander makes 17 calls a second.
 */
const CHECK_INTERVAL_PER_ENGINE_MS = 60;
const MIN_CHECK_INTERVAL_MS = 3000;

/** Most steps under way at a time. */
const MAX_CONCURRENT_STEPS = 32;

/**
 * What became of an order: `unknown`, it may have or may yet take effect; `failed`, it had no
 * effect.
 */
export type OrderResult = 'acknowledged' | 'unknown' | 'failed';

/** What is to be done at an engine next: look at its incarnation, or send it an order. */
export interface OrderStep {
  readonly engine: DesiredEngine;
  /** Undefined: look at the incarnation. */
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
  /** Values that the present incarnation has acknowledged, by subject. */
  readonly acknowledged: Map<string, string>;
  readonly retries: Map<string, Retry>;
  incarnation: string | undefined;
  nextCheckMs: number;
  failedChecks: number;
  blockedUntilMs: number;
  busy: boolean;
}

/**
 * Knows which orders of one term have been acknowledged, and what is due. One step at a time runs
 * at an engine, so that two orders of one term cannot overtake one another.
 */
export class OrderTracker {
  private readonly entries = new Map<string, EngineEntry>();

  private desired: readonly DesiredEngine[] = [];

  private stepsInProgress = 0;

  private constructor(private readonly maxDeliveryMs: number) {}

  /**
   * Creates the book of a term that has acknowledged nothing.
   *
   * @param maxDeliveryMs - longest time between the sending of an order and its effect, in milliseconds
   * @returns a new book
   */
  static create(maxDeliveryMs: number): OrderTracker {
    return new OrderTracker(maxDeliveryMs);
  }

  /**
   * Replaces what the engines are to be.
   *
   * @param desired - every engine of the configuration
   */
  setDesired(desired: readonly DesiredEngine[]): void {
    this.desired = desired;
    const engines = new Map(desired.map((engine) => [keyOf(engine), engine]));
    [...this.entries].forEach(([name, entry]) => {
      const engine = engines.get(name);
      // A step under way still counts, and its entry must not be replaced meanwhile.
      if (!engine && !entry.busy) this.entries.delete(name);
      const subjects = new Set(engine?.orders.map(({ subject }) => subject));
      [...entry.acknowledged.keys()]
        .filter((subject) => !subjects.has(subject))
        .forEach((subject) => entry.acknowledged.delete(subject));
    });
  }

  /**
   * Selects the steps that are due and marks them as under way.
   *
   * @param nowMs - present time on the monotonic clock, in milliseconds
   * @param isOpen - whether an engine may be sent orders now
   * @returns the steps; each is to be followed by `looked` or `settled`
   */
  takeDueSteps(nowMs: number, isOpen: (engine: DesiredEngine) => boolean): readonly OrderStep[] {
    const steps: OrderStep[] = [];
    for (const engine of this.desired) {
      if (this.stepsInProgress >= MAX_CONCURRENT_STEPS) break;
      const entry = this.entryOf(engine);
      const step = isOpen(engine) ? this.findStep(engine, entry, nowMs) : undefined;
      if (!step) continue;
      entry.busy = true;
      this.stepsInProgress += 1;
      steps.push(step);
    }
    return steps;
  }

  /**
   * Notes the incarnation of an engine. What an earlier one acknowledged is ordered again.
   *
   * @param engine - the engine
   * @param incarnation - what it answered; undefined when it did not answer
   * @param nowMs - present time on the monotonic clock, in milliseconds
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
   * Notes what became of an order.
   *
   * @param step - the engine and the order
   * @param result - what became of it
   * @param sentMs - latest time at which it was written, on the monotonic clock, in milliseconds
   * @param nowMs - present time on the monotonic clock, in milliseconds
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
    // An order that may yet take effect must not overtake the next one.
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

/** An engine that moves to another address is another engine. */
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
