import { randomUUID } from 'node:crypto';

import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Backoff } from './backoff.js';
import { type Change, subjectOf } from './change.js';
import type { ChangeVerdict } from './configuration.js';
import type { FoldTask } from './fold-task.js';
import type { LogFollower } from './log-follower.js';
import { encodeChange } from './record.js';
import { CONFIGURATION_STREAM } from './stream-name.js';

/** Time after which a change without a verdict is reported as `unknown`. */
const VERDICT_TIMEOUT_MS = 5000;

/** Time to wait for a record to be read back before an append without an answer is repeated. */
const READ_BACK_TIMEOUT_MS = 1000;

/** Appends changes to the log and waits for their verdicts. */
export class ChangeAppender {
  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
    private readonly follower: LogFollower,
  ) {}

  /**
   * Creates an appender.
   *
   * @param kernel - registry for looking up the log
   * @param clock - clock used for deadlines
   * @param task - fold that yields the verdicts
   * @param follower - reader that delivers the appended records to the fold
   * @returns a new appender
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    task: FoldTask,
    follower: LogFollower,
  ): ChangeAppender {
    return new ChangeAppender(kernel, clock, task, follower);
  }

  /**
   * Appends a change to the log and waits for its verdict.
   *
   * @param change - the change
   * @param base - version of the subject that the edit is based on; undefined means the current one
   * @param operator - name of the operator who made the edit
   * @returns the verdict; `unknown` when none was found within 5 s
   */
  async append(change: Change, base: number | undefined, operator: string): Promise<ChangeVerdict> {
    const changeId = randomUUID();
    const { state } = this.task;
    if (!state)
      return createUnknownVerdict(changeId, 'not appended: this daemon has no configuration yet');
    const version = base ?? state.subjects.get(subjectOf(change)) ?? 0;
    const data = encodeChange(changeId, version, operator, change);
    const done = new AbortController();
    const expiry = this.clock.sleep(VERDICT_TIMEOUT_MS, done.signal).then(() => done.abort());
    const verdict = await this.appendUntilFolded(changeId, data, done.signal);
    done.abort();
    await expiry;
    return verdict;
  }

  /**
   * Appends until the change has been folded. Repeating an append is safe: the base of the second
   * record is stale, and the verdict on the first one stands.
   */
  private async appendUntilFolded(
    changeId: string,
    data: string,
    signal: AbortSignal,
  ): Promise<ChangeVerdict> {
    const backoff = Backoff.create(this.clock, 100, 1000);
    let reason = 'the log did not answer in time';
    let appended = false;
    while (!signal.aborted) {
      const outcome = await this.kernel.find('log').append(CONFIGURATION_STREAM, [data]);
      this.follower.wake();
      const mayBeLogged = outcome.kind === 'ok' || outcome.failure.reason === 'unknown';
      appended ||= mayBeLogged;
      if (outcome.kind === 'failed') reason = outcome.failure.message;
      const waitMs = outcome.kind === 'ok' ? VERDICT_TIMEOUT_MS : READ_BACK_TIMEOUT_MS;
      const verdict = mayBeLogged ? await this.waitForVerdict(changeId, waitMs, signal) : undefined;
      if (verdict) return verdict;
      if (!mayBeLogged) await backoff.wait(signal);
    }
    const prefix = appended ? 'no verdict in time' : 'not appended';
    return this.task.verdictOf(changeId) ?? createUnknownVerdict(changeId, `${prefix}: ${reason}`);
  }

  private async waitForVerdict(
    changeId: string,
    ms: number,
    signal: AbortSignal,
  ): Promise<ChangeVerdict | undefined> {
    const done = new AbortController();
    const eitherSignal = AbortSignal.any([signal, done.signal]);
    const expiry = this.clock.sleep(ms, eitherSignal).then(() => done.abort());
    const verdict = await this.task.waitForVerdict(changeId, eitherSignal);
    done.abort();
    await expiry;
    return verdict;
  }
}

function createUnknownVerdict(changeId: string, reason: string): ChangeVerdict {
  return { verdict: 'unknown', reason, version: 0, changeId };
}
