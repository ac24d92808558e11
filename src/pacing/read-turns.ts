/** Processor time for connections with much work in one turn of the event loop, in milliseconds. */
const SLICE_MS = 2;

/** Reads of a connection that have been stopped. */
export interface StoppedReads {
  /** Processor time of the last read, in milliseconds. */
  readonly lastMs: number;

  /** Lets the connection read once. */
  resume(): void;
}

/**
 * Connections that wait to be read, since they take much processor time. They get a slice of each turn of
 * the event loop, in the order in which they came, and all others go first.
 */
export class ReadTurns {
  private readonly waiting = new Set<StoppedReads>();

  private scheduled = false;

  private constructor(
    private readonly schedule: (run: () => void) => void,
    private readonly onStop: (waiting: number) => void,
  ) {}

  /**
   * Creates an instance that no connection waits in.
   *
   * @param onStop - told how many connections wait whenever one more does
   * @param schedule - calls a function in the next turn of the event loop
   * @returns a new instance
   */
  static create(
    onStop: (waiting: number) => void = () => {},
    schedule: (run: () => void) => void = setImmediate,
  ): ReadTurns {
    return new ReadTurns(schedule, onStop);
  }

  /** Number of connections that wait. */
  get size(): number {
    return this.waiting.size;
  }

  /**
   * Lets a connection wait for its turn, after all that wait already.
   *
   * @param reads - its reads, which have been stopped
   */
  add(reads: StoppedReads): void {
    this.waiting.add(reads);
    this.onStop(this.waiting.size);
    this.scheduleNext();
  }

  /**
   * Removes a connection that has closed.
   *
   * @param reads - its reads
   */
  remove(reads: StoppedReads): void {
    this.waiting.delete(reads);
  }

  private scheduleNext(): void {
    if (this.scheduled || this.waiting.size === 0) return;
    this.scheduled = true;
    this.schedule(() => this.run());
  }

  private run(): void {
    this.scheduled = false;
    let sliceMs = 0;
    for (const reads of [...this.waiting]) {
      if (sliceMs > 0 && sliceMs + reads.lastMs > SLICE_MS) break;
      sliceMs += reads.lastMs;
      this.waiting.delete(reads);
      reads.resume();
    }
    this.scheduleNext();
  }
}
