import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { LogFailure } from '../platform/log-failure.js';
import type { LogPage, LogRecord } from '../platform/log-service.js';
import { Backoff } from './backoff.js';
import type { FoldTask } from './fold-task.js';
import type { FetchScope, PeerSource } from './peer-source.js';
import { findNewestSnapshot } from './snapshot-assembly.js';
import { CONFIGURATION_STREAM } from './stream-name.js';
import type { WithdrawnKeys } from './withdrawn-keys.js';

const POLL_MS = 10_000;
const PAGE_LIMIT = 1000;
/** Bounds the request rate against a log that answers an empty page at once. */
const EMPTY_PAGE_MS = 100;
/** Most records read in search of a snapshot; a third of the retention holds far fewer. */
const MOST_SEARCHED = 200_000;

/** Reads the configuration stream by long poll and falls back to peers when the log fails. */
export class LogFollower {
  private readonly stopping = new AbortController();

  private pause = new AbortController();

  private readonly backoff: Backoff;

  private running: Promise<void> = Promise.resolve();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
    private readonly source: PeerSource,
    private readonly withdrawn: WithdrawnKeys,
  ) {
    this.backoff = Backoff.create(clock, 200, 2000);
  }

  /**
   * Creates a follower.
   *
   * @param kernel - where the log is found
   * @param clock - for waits between attempts
   * @param task - what takes the records
   * @param source - peers to ask when the log fails
   * @param withdrawn - set that learns of the peers' withdrawals at start
   * @returns a new follower
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    task: FoldTask,
    source: PeerSource,
    withdrawn: WithdrawnKeys,
  ): LogFollower {
    return new LogFollower(kernel, clock, task, source, withdrawn);
  }

  /** Starts the loop. */
  start(): void {
    this.running = this.follow();
  }

  /**
   * Ends the loop.
   *
   * @returns a promise that resolves when the loop has ended
   */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.pause.abort();
    await this.running;
  }

  /** Ends the present wait between two attempts. */
  wake(): void {
    this.pause.abort();
  }

  private async follow(): Promise<void> {
    while (!this.stopping.signal.aborted) await this.step();
  }

  private async step(): Promise<void> {
    const from = this.task.version + 1;
    const page = await this.read(from, this.task.state ? POLL_MS : 0);
    if (this.stopping.signal.aborted) return;
    if (page.kind === 'failed') {
      await this.useOtherSource(this.task.state ? 'records' : 'snapshot');
      return;
    }
    if (page.value.earliestOffset > from && page.value.endOffset >= from) {
      await this.skipDroppedRecords(page.value.earliestOffset);
      return;
    }
    this.backoff.reset();
    await this.take(from, page.value);
  }

  private async take(from: number, page: LogPage): Promise<void> {
    const last = page.records.at(-1)?.offset ?? from - 1;
    const complete = last >= page.endOffset;
    if (complete && !this.task.state) await this.completeFirstRead(page.records);
    else await this.task.take(page.records, complete);
    if (page.records.length === 0) await this.rest(EMPTY_PAGE_MS);
  }

  /** A replica may lag behind, so the peers are consulted before this daemon serves. */
  private async completeFirstRead(records: readonly LogRecord[]): Promise<void> {
    await this.task.take(records, false);
    this.withdrawn.add(await this.source.consult(), 'peers');
    await this.task.take([], true);
  }

  private read(from: number, waitMs: number): Promise<Outcome<LogPage, LogFailure>> {
    return this.kernel.find('log').read({
      stream: CONFIGURATION_STREAM,
      from,
      limit: PAGE_LIMIT,
      waitMs,
      signal: this.stopping.signal,
    });
  }

  private async useOtherSource(scope: FetchScope): Promise<void> {
    if (await this.source.fetchFromAny(scope)) {
      this.backoff.reset();
      return;
    }
    this.pause = new AbortController();
    await this.backoff.wait(AbortSignal.any([this.pause.signal, this.stopping.signal]));
  }

  private async skipDroppedRecords(earliest: number): Promise<void> {
    const records = await this.readAll(earliest);
    const fold = records && findNewestSnapshot(records);
    if (!records || !fold || fold.state.version <= this.task.version) {
      await this.useOtherSource('snapshot');
      return;
    }
    await this.task.adopt(fold, false);
    await this.task.take(
      records.filter((record) => record.offset > fold.state.version),
      true,
    );
  }

  private async readAll(earliest: number): Promise<readonly LogRecord[] | undefined> {
    const records: LogRecord[] = [];
    let from = earliest;
    while (records.length < MOST_SEARCHED) {
      const page = await this.read(from, 0);
      if (page.kind === 'failed') return undefined;
      records.push(...page.value.records);
      const last = page.value.records.at(-1)?.offset;
      if (last === undefined || last >= page.value.endOffset) return records;
      from = last + 1;
    }
    return undefined;
  }

  private async rest(ms: number): Promise<void> {
    this.pause = new AbortController();
    await this.clock.sleep(ms, AbortSignal.any([this.pause.signal, this.stopping.signal]));
  }
}
