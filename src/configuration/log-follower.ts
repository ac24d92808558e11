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

const POLL_MS = 10_000;
const PAGE_LIMIT = 1000;
/** Bounds the request rate against a log that answers an empty page at once. */
const EMPTY_PAGE_MS = 100;
/** Most records read in search of a snapshot; a third of the retention holds far fewer. */
const MOST_SEARCHED = 200_000;

/** Reads the configuration stream by long poll and falls back to peers when the log fails. */
export class LogFollower extends BackgroundLoop {
  private pause = new AbortController();

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

  /** Ends the present wait between two attempts. */
  wake(): void {
    this.pause.abort();
  }

  protected override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) await this.step(signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const from = this.task.version + 1;
    const page = await this.read(from, this.task.state ? POLL_MS : 0, signal);
    if (signal.aborted) return;
    if (page.kind === 'failed') {
      await this.useOtherSource(this.task.state ? 'records' : 'snapshot', signal);
      return;
    }
    if (page.value.earliestOffset > from && page.value.endOffset >= from) {
      await this.skipDroppedRecords(page.value.earliestOffset, signal);
      return;
    }
    this.backoff.reset();
    await this.take(from, page.value, signal);
  }

  private async take(from: number, page: LogPage, signal: AbortSignal): Promise<void> {
    const last = page.records.at(-1)?.offset ?? from - 1;
    const complete = last >= page.endOffset;
    if (complete && !this.task.state) await this.completeFirstRead(page.records, signal);
    else await this.task.take(page.records, complete);
    if (this.task.version < from) await this.pauseFor(EMPTY_PAGE_MS, signal);
  }

  /** A replica may lag behind, so the peers are consulted before this daemon serves. */
  private async completeFirstRead(
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<void> {
    await this.task.take(records, false);
    await this.source.waitUntilListed(signal);
    this.withdrawn.add(await this.source.consult(), 'peers');
    await this.source.catchUp();
    await this.task.take([], true);
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

  private async useOtherSource(scope: FetchScope, signal: AbortSignal): Promise<void> {
    if (!this.task.state) this.withdrawn.add(await this.source.consult(), 'peers');
    if (await this.source.fetchFromAny(scope)) {
      this.backoff.reset();
      return;
    }
    this.pause = new AbortController();
    await this.backoff.wait(AbortSignal.any([this.pause.signal, signal]));
  }

  private async skipDroppedRecords(earliest: number, signal: AbortSignal): Promise<void> {
    const records = await this.readAll(earliest, signal);
    const fold = records && findNewestSnapshot(records);
    if (!records || !fold || fold.state.version <= this.task.version) {
      await this.useOtherSource('snapshot', signal);
      return;
    }
    await this.task.adopt(fold, false);
    const rest = records.filter((record) => record.offset > fold.state.version);
    if (this.task.state) await this.task.take(rest, true);
    else await this.completeFirstRead(rest, signal);
  }

  private async readAll(
    earliest: number,
    signal: AbortSignal,
  ): Promise<readonly LogRecord[] | undefined> {
    const records: LogRecord[] = [];
    let from = earliest;
    while (records.length < MOST_SEARCHED) {
      const page = await this.read(from, 0, signal);
      if (page.kind === 'failed') return undefined;
      records.push(...page.value.records);
      const last = page.value.records.at(-1)?.offset;
      if (last === undefined || last >= page.value.endOffset) return records;
      from = last + 1;
    }
    return undefined;
  }

  private async pauseFor(ms: number, signal: AbortSignal): Promise<void> {
    this.pause = new AbortController();
    await this.clock.sleep(ms, AbortSignal.any([this.pause.signal, signal]));
  }
}
