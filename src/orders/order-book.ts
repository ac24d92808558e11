import type { DesiredEngine, DesiredOrder } from './desired-orders.js';

/** First and longest wait before a failed step is repeated, in milliseconds. */
const FIRST_RETRY_MS = 250;
export const LONGEST_RETRY_MS = 5000;

/**
 * Time between two looks at an engine's incarnation, for each engine and at least, in milliseconds.
 * With 1,000 engines the commander makes 17 calls a second.
 */
const LOOK_EACH_MS = 60;
const LOOK_LEAST_MS = 3000;

/** Most steps under way at a time. */
const MOST_STEPS = 32;

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
export interface SentStep extends OrderStep {
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
  lookAtMs: number;
  looksFailed: number;
  quietUntilMs: number;
  busy: boolean;
}

/**
 * Knows which orders of one term have been acknowledged, and what is due. One step at a time runs
 * at an engine, so that two orders of one term cannot overtake one another.
 */
export class OrderBook {
  private readonly entries = new Map<string, EngineEntry>();

  private desired: readonly DesiredEngine[] = [];

  private running = 0;

  private constructor(private readonly flightMs: number) {}

  /**
   * Creates the book of a term that has acknowledged nothing.
   *
   * @param flightMs - longest time between the sending of an order and its effect, in milliseconds
   * @returns a new book
   */
  static create(flightMs: number): OrderBook {
    return new OrderBook(flightMs);
  }

  /**
   * Replaces what the engines are to be.
   *
   * @param desired - every engine of the configuration
   */
  setDesired(desired: readonly DesiredEngine[]): void {
    this.desired = desired;
    const engines = new Map(desired.map((engine) => [nameOf(engine), engine]));
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
  take(nowMs: number, isOpen: (engine: DesiredEngine) => boolean): readonly OrderStep[] {
    const steps: OrderStep[] = [];
    for (const engine of this.desired) {
      if (this.running >= MOST_STEPS) break;
      const entry = this.entryOf(engine);
      const step = isOpen(engine) ? this.findStep(engine, entry, nowMs) : undefined;
      if (!step) continue;
      entry.busy = true;
      this.running += 1;
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
  looked(engine: DesiredEngine, incarnation: string | undefined, nowMs: number): void {
    const entry = this.end(engine);
    if (incarnation === undefined) {
      entry.lookAtMs = nowMs + retryAfter(entry.looksFailed);
      entry.looksFailed += 1;
      return;
    }
    if (incarnation !== entry.incarnation) {
      entry.acknowledged.clear();
      entry.retries.clear();
    }
    entry.incarnation = incarnation;
    entry.looksFailed = 0;
    entry.lookAtMs = nowMs + Math.max(LOOK_LEAST_MS, this.desired.length * LOOK_EACH_MS);
  }

  /**
   * Notes what became of an order.
   *
   * @param step - the engine and the order
   * @param result - what became of it
   * @param sentMs - latest time at which it was written, on the monotonic clock, in milliseconds
   * @param nowMs - present time on the monotonic clock, in milliseconds
   */
  settled({ engine, order }: SentStep, result: OrderResult, sentMs: number, nowMs: number): void {
    const entry = this.end(engine);
    if (result === 'acknowledged') {
      entry.acknowledged.set(order.subject, order.value);
      entry.retries.delete(order.subject);
      return;
    }
    // An order that may yet take effect must not overtake the next one.
    if (result === 'unknown') {
      entry.quietUntilMs = sentMs + this.flightMs;
      entry.acknowledged.delete(order.subject);
    }
    const failures = entry.retries.get(order.subject)?.failures ?? 0;
    const atMs = nowMs + retryAfter(failures);
    entry.retries.set(order.subject, { failures: failures + 1, atMs });
  }

  /** Counts the orders that have not been acknowledged. */
  pending(): number {
    return this.desired.reduce((sum, engine) => sum + this.listOpen(engine).length, 0);
  }

  private findStep(
    engine: DesiredEngine,
    entry: EngineEntry,
    nowMs: number,
  ): OrderStep | undefined {
    if (entry.busy || nowMs < entry.quietUntilMs) return undefined;
    if (nowMs >= entry.lookAtMs) return { engine, order: undefined };
    if (entry.incarnation === undefined || entry.looksFailed > 0) return undefined;
    const order = this.listOpen(engine).find(
      ({ subject }) => nowMs >= (entry.retries.get(subject)?.atMs ?? 0),
    );
    return order && { engine, order };
  }

  private listOpen(engine: DesiredEngine): readonly DesiredOrder[] {
    const { acknowledged } = this.entryOf(engine);
    return engine.orders.filter(({ subject, value }) => acknowledged.get(subject) !== value);
  }

  private entryOf(engine: DesiredEngine): EngineEntry {
    const name = nameOf(engine);
    const entry = this.entries.get(name) ?? createEntry();
    this.entries.set(name, entry);
    return entry;
  }

  private end(engine: DesiredEngine): EngineEntry {
    this.running -= 1;
    const entry = this.entryOf(engine);
    entry.busy = false;
    return entry;
  }
}

/** An engine that moves to another address is another engine. */
function nameOf({ server }: DesiredEngine): string {
  return `${server.name}@${server.address.host}:${server.address.port}`;
}

function retryAfter(failures: number): number {
  return Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
}

function createEntry(): EngineEntry {
  return {
    ...{ acknowledged: new Map(), retries: new Map(), incarnation: undefined },
    ...{ lookAtMs: -Infinity, looksFailed: 0, quietUntilMs: -Infinity, busy: false },
  };
}
