import type { Clock } from '../kernel/clock.js';
import { DecisionRing } from './decision-ring.js';
import { Decisions, type DecisionEntry } from './decisions.js';
import type { LineWriter } from './line-writer.js';

/** Decisions that this VM remembers. */
const MOST_REMEMBERED = 2000;

/** Lines a second that are written; what is beyond is only remembered. */
const LINES_PER_SECOND = 400;

/** Writes a line for each decision and remembers the newest. */
export class LineDecisions extends Decisions {
  private readonly ring = DecisionRing.create(MOST_REMEMBERED);

  private second = 0;

  private lines = 0;

  private unwritten = 0;

  private constructor(
    private readonly writer: LineWriter,
    private readonly vm: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Creates a record of decisions.
   *
   * @param writer - where lines go
   * @param vm - name of this VM
   * @param clock - time
   * @returns an empty record
   */
  static create(writer: LineWriter, vm: string, clock: Clock): LineDecisions {
    return new LineDecisions(writer, vm, clock);
  }

  override record(entry: Omit<DecisionEntry, 'atMs' | 'vm'>): void {
    const decided: DecisionEntry = { ...entry, atMs: this.clock.wallMs(), vm: this.vm };
    this.ring.add(decided);
    if (!this.mayWrite()) {
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

  private mayWrite(): boolean {
    const second = Math.floor(this.clock.monotonicMs() / 1000);
    if (second !== this.second) {
      this.second = second;
      this.lines = 0;
    }
    this.lines += 1;
    return this.lines <= LINES_PER_SECOND;
  }
}
