import type { Clock } from '../kernel/clock.js';
import { DecisionRing } from './decision-ring.js';
import { Decisions, type DecisionEntry } from './decisions.js';
import type { LineWriter } from './line-writer.js';

/** Number of decisions that this VM keeps in memory. */
const RING_CAPACITY = 2000;

/** Maximum lines written per second; decisions beyond it are only kept in memory. */
const MAX_LINES_PER_SECOND = 400;

/** Writes a JSON line for each decision and keeps the newest decisions in memory. */
export class JsonDecisions extends Decisions {
  private readonly ring = DecisionRing.create(RING_CAPACITY);

  private currentSecond = 0;

  private linesThisSecond = 0;

  private unwritten = 0;

  private constructor(
    private readonly writer: LineWriter,
    private readonly vm: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates the service.
   *
   * @param writer - receives the lines
   * @param vm - name of this VM
   * @param clock - time of the decisions
   * @returns a service without decisions
   */
  static create(writer: LineWriter, vm: string, clock: Clock): JsonDecisions {
    return new JsonDecisions(writer, vm, clock);
  }

  override record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void {
    const decided: DecisionEntry = { ...entry, atMs: this.clock.wallMs(), vm: this.vm };
    this.ring.add(decided);
    if (!this.consumeLineQuota()) {
      this.unwritten += 1;
      return;
    }
    const { requestId, step, choice, reason, facts } = entry;
    const time = new Date(decided.atMs).toISOString();
    const head = { time, vm: this.vm, request: requestId, step, choice, reason };
    const dropped = this.unwritten > 0 ? { unwritten: this.unwritten } : {};
    this.writer.write(`${JSON.stringify({ ...head, ...facts, ...dropped })}\n`);
  }

  override async explain(requestId: string): Promise<readonly DecisionEntry[]> {
    return Promise.resolve(this.ring.find(requestId));
  }

  private consumeLineQuota(): boolean {
    const second = Math.floor(this.clock.monotonicMs() / 1000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.linesThisSecond = 0;
    }
    this.linesThisSecond += 1;
    return this.linesThisSecond <= MAX_LINES_PER_SECOND;
  }
}
