import type { Stream } from 'most';

import { Task } from '../kernel/task.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { ChangeVerdict, ConfigurationState } from './configuration.js';
import { EventBroadcaster } from './event-broadcaster.js';
import { createFold, type Fold, foldRecords } from './fold.js';
import { RecentRecords } from './recent-records.js';
import { decodeRecord } from './record.js';
import type { WithdrawnKeys } from './withdrawn-keys.js';

type FoldMessage =
  | {
      readonly kind: 'fold';
      readonly records: readonly LogRecord[];
      /** True when the records reach the end of the stream as seen by their source. */
      readonly complete: boolean;
      readonly reply: (version: number) => void;
    }
  | {
      readonly kind: 'adopt';
      readonly fold: Fold;
      readonly complete: boolean;
      readonly reply: (version: number) => void;
    };

/**
 * Owns the fold and processes records and snapshots from any source one message at a time. The
 * version never decreases, and records are folded without gaps.
 */
export class FoldTask extends Task<FoldMessage> {
  private fold = createFold();

  /** True after the first complete read of the stream. */
  private initialized = false;

  private loggedWithdrawalCount = 0;

  /** Log time of the newest snapshot record, or of the first record before there is one. */
  private snapshotMs: number | undefined;

  private readonly recentRecords = RecentRecords.create();

  private readonly states = EventBroadcaster.create<ConfigurationState>();

  /** Callbacks by change id for changes whose record has not been folded yet. */
  private readonly verdictWaiters = new Map<string, (verdict: ChangeVerdict) => void>();

  private constructor(private readonly withdrawn: WithdrawnKeys) {
    super();
  }

  /**
   * Creates a task that holds the fold of the empty stream.
   *
   * @param withdrawn - set to which each key withdrawal in the log is added
   * @returns a new task; `run` starts it
   */
  static create(withdrawn: WithdrawnKeys): FoldTask {
    return new FoldTask(withdrawn);
  }

  /** Offset of the last folded record; it is available before the first complete read, too. */
  get version(): number {
    return this.fold.state.version;
  }

  /** The state, or undefined before the first complete read. */
  get state(): ConfigurationState | undefined {
    return this.initialized ? this.fold.state : undefined;
  }

  /** The fold, or undefined before the first complete read. */
  get completeFold(): Fold | undefined {
    return this.initialized ? this.fold : undefined;
  }

  /** Log time of the newest snapshot record seen, or of the first record; undefined before both. */
  get newestSnapshotMs(): number | undefined {
    return this.snapshotMs;
  }

  /**
   * Subscribes to the state.
   *
   * @returns a stream with an event for each new state after the first complete read
   */
  changes(): Stream<ConfigurationState> {
    return this.states.stream();
  }

  /**
   * Folds the records that follow the current version without a gap; others are ignored.
   *
   * @param records - records in ascending order
   * @param complete - whether they reach the end of the stream as seen by their source
   * @returns the version after the records
   */
  applyRecords(records: readonly LogRecord[], complete: boolean): Promise<number> {
    return this.ask((reply) => ({ kind: 'fold', records, complete, reply }));
  }

  /**
   * Replaces the fold by that of a snapshot, unless the snapshot is not newer.
   *
   * @param fold - the fold of the snapshot
   * @param complete - whether the source of the snapshot had read the whole stream
   * @returns the version after the snapshot
   */
  applySnapshot(fold: Fold, complete: boolean): Promise<number> {
    return this.ask((reply) => ({ kind: 'adopt', fold, complete, reply }));
  }

  /**
   * Reads records from the buffer of recent records.
   *
   * @param from - first offset
   * @param limit - maximum number of records
   * @returns the records from that offset on; empty when the first one is no longer kept
   */
  records(from: number, limit: number): readonly LogRecord[] {
    return this.recentRecords.read(from, limit);
  }

  /**
   * Looks up the verdict on a change.
   *
   * @param changeId - the change
   * @returns the verdict, or undefined when the change's record has not been folded or its verdict
   *   is no longer kept
   */
  verdictOf(changeId: string): ChangeVerdict | undefined {
    return this.fold.verdicts.get(changeId);
  }

  /**
   * Waits until the record of a change has been folded.
   *
   * @param changeId - the change
   * @param signal - cancels the wait
   * @returns the verdict, or undefined when the signal aborted first
   */
  waitForVerdict(changeId: string, signal: AbortSignal): Promise<ChangeVerdict | undefined> {
    const known = this.verdictOf(changeId);
    if (known) return Promise.resolve(known);
    return new Promise((resolve) => {
      const settle = (verdict: ChangeVerdict | undefined) => {
        this.verdictWaiters.delete(changeId);
        resolve(verdict);
      };
      if (signal.aborted) settle(undefined);
      else {
        this.verdictWaiters.set(changeId, settle);
        signal.addEventListener('abort', () => settle(undefined), { once: true });
      }
    });
  }

  override close(): void {
    super.close();
    this.states.end();
  }

  protected override receive(message: FoldMessage): void {
    const before = this.state;
    if (message.kind === 'fold') this.foldInOrder(message.records);
    else this.replace(message.fold);
    if (message.complete) this.initialized = true;
    this.publishChanges(before);
    message.reply(this.version);
  }

  private foldInOrder(records: readonly LogRecord[]): void {
    let next = this.version + 1;
    const following = records.filter((record) => {
      if (record.offset !== next) return false;
      next += 1;
      return true;
    });
    if (following.length === 0) return;
    this.fold = foldRecords(this.fold, following);
    this.recentRecords.add(following);
    this.snapshotMs ??= following[0]?.timestampMs;
    following
      .filter((record) => decodeRecord(record.data).kind === 'snapshot')
      .forEach((record) => {
        this.snapshotMs = record.timestampMs;
      });
  }

  private replace(fold: Fold): void {
    if (fold.state.version <= this.version) return;
    this.fold = fold;
    this.recentRecords.clear();
  }

  private publishChanges(before: ConfigurationState | undefined): void {
    const { state, verdicts } = this.fold;
    if (state.withdrawnKeyIds.size !== this.loggedWithdrawalCount) {
      this.loggedWithdrawalCount = state.withdrawnKeyIds.size;
      this.withdrawn.addLogged(state.withdrawnKeyIds);
    }
    this.verdictWaiters.forEach((settle, changeId) => {
      const verdict = verdicts.get(changeId);
      if (verdict) settle(verdict);
    });
    if (this.initialized && before !== state) this.states.publish(state);
  }
}
