import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { LogFailure } from '../infrastructure/log-failure.js';
import type { LogPage, LogRecord } from '../infrastructure/log-service.js';
import { BackgroundLoop } from './background-loop.js';
import { Backoff } from './backoff.js';
import type { FoldTask } from './fold-task.js';
import type { FetchScope, PeerSource } from './peer-source.js';
import { findNewestSnapshot } from './snapshot-assembly.js';
import { CONFIGURATION_STREAM } from './stream-name.js';
import type { WithdrawnKeys } from './withdrawn-keys.js';

/** Time that a long poll may wait for new records. */
const LONG_POLL_MS = 10_000;
const PAGE_LIMIT = 1000;

/** Delay that limits the request rate to a log that returns empty pages without waiting. */
const EMPTY_PAGE_DELAY_MS = 100;

/**
 * Maximum number of records that are read in search of a snapshot. A third of the retention period
 * holds far fewer records.
 */
const MAX_SEARCHED_RECORDS = 200_000;

/** Reads the configuration stream by long polling and falls back to peers when the log fails. */
export class LogFollower extends BackgroundLoop {
  /** Ends the current wait between two attempts. */
  private waitAbort = new AbortController();

  private readonly backoff: Backoff;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
    private readonly source: PeerSource,
    private readonly withdrawn: WithdrawnKeys,
  ) {
    super();
    this.backoff = Backoff.create(clock, 200, 2000);
  }

  /**
   * Creates a follower.
   *
   * @param kernel - registry for looking up the log
   * @param clock - clock used for waits between attempts
   * @param task - fold that receives the records
   * @param source - peers to ask when the log fails
   * @param withdrawn - set to which keys withdrawn at peers are added at start-up
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

  /** Ends the current wait between two attempts. */
  wake(): void {
    this.waitAbort.abort();
  }

  protected override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) await this.step(signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const from = this.task.version + 1;
    const page = await this.read(from, this.task.state ? LONG_POLL_MS : 0, signal);
    if (signal.aborted) return;
    if (page.kind === 'failed') {
      await this.fetchFromPeers(this.task.state ? 'records' : 'snapshot', signal);
      return;
    }
    if (page.value.earliestOffset > from && page.value.endOffset >= from) {
      await this.recoverFromSnapshot(page.value.earliestOffset, signal);
      return;
    }
    this.backoff.reset();
    await this.applyPage(from, page.value, signal);
  }

  private async applyPage(from: number, page: LogPage, signal: AbortSignal): Promise<void> {
    const last = page.records.at(-1)?.offset ?? from - 1;
    const complete = last >= page.endOffset;
    if (complete && !this.task.state) await this.completeFirstRead(page.records, signal);
    else await this.task.applyRecords(page.records, complete);
    if (this.task.version < from) await this.waitInterruptibly(EMPTY_PAGE_DELAY_MS, signal);
  }

  /**
   * Completes the first read. The log replica may lag behind, so peers are asked for newer records
   * and withdrawn keys before this daemon uses the configuration.
   */
  private async completeFirstRead(
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<void> {
    await this.task.applyRecords(records, false);
    await this.source.waitForPeerList(signal);
    this.withdrawn.add(await this.source.fetchWithdrawals(), 'peers');
    await this.source.catchUp();
    await this.task.applyRecords([], true);
  }

  private read(
    from: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Outcome<LogPage, LogFailure>> {
    return this.kernel.find('log').read({
      stream: CONFIGURATION_STREAM,
      from,
      limit: PAGE_LIMIT,
      waitMs,
      signal,
    });
  }

  private async fetchFromPeers(scope: FetchScope, signal: AbortSignal): Promise<void> {
    if (!this.task.state) this.withdrawn.add(await this.source.fetchWithdrawals(), 'peers');
    if (await this.source.fetchFromAny(scope)) {
      this.backoff.reset();
      return;
    }
    this.waitAbort = new AbortController();
    await this.backoff.wait(AbortSignal.any([this.waitAbort.signal, signal]));
  }

  /** Handles records that retention dropped before they were read: loads the newest snapshot. */
  private async recoverFromSnapshot(earliest: number, signal: AbortSignal): Promise<void> {
    const records = await this.readAll(earliest, signal);
    const fold = records && findNewestSnapshot(records);
    if (!records || !fold || fold.state.version <= this.task.version) {
      await this.fetchFromPeers('snapshot', signal);
      return;
    }
    await this.task.applySnapshot(fold, false);
    const rest = records.filter((record) => record.offset > fold.state.version);
    if (this.task.state) await this.task.applyRecords(rest, true);
    else await this.completeFirstRead(rest, signal);
  }

  /** Reads all records from an offset; undefined when the log fails or has too many records. */
  private async readAll(
    earliest: number,
    signal: AbortSignal,
  ): Promise<readonly LogRecord[] | undefined> {
    const records: LogRecord[] = [];
    let from = earliest;
    while (records.length < MAX_SEARCHED_RECORDS) {
      const page = await this.read(from, 0, signal);
      if (page.kind === 'failed') return undefined;
      records.push(...page.value.records);
      const last = page.value.records.at(-1)?.offset;
      if (last === undefined || last >= page.value.endOffset) return records;
      from = last + 1;
    }
    return undefined;
  }

  private async waitInterruptibly(ms: number, signal: AbortSignal): Promise<void> {
    this.waitAbort = new AbortController();
    await this.clock.sleep(ms, AbortSignal.any([this.waitAbort.signal, signal]));
  }
}
