import { randomBytes } from 'node:crypto';

import { Link } from '../shared/link.js';
import type { AttemptEnd } from './attempt-log.js';
import { OpenCalls } from './open-calls.js';
import { Cancellations } from './cancellations.js';
import type { EngineHistory } from './engine-history.js';
import { Generations } from './generations.js';
import { LoadReport, type ReportedLoad } from './load-report.js';
import { Memory } from './memory.js';
import type { EngineOptions, Role } from './options.js';
import { PrefillQueue } from './prefill-queue.js';
import { PrefillResults } from './prefill-results.js';
import { PrefixCache } from './prefix-cache.js';
import { Reservations } from './reservations.js';

/** The state of an engine that a restart discards. */
export class EngineState {
  readonly incarnation = randomBytes(4).toString('hex');

  readonly memory: Memory;

  readonly openCalls = OpenCalls.create();

  readonly cancellations = Cancellations.create();

  readonly cache: PrefixCache;

  readonly queue: PrefillQueue;

  readonly results: PrefillResults;

  readonly reservations: Reservations;

  readonly generations = Generations.create();

  readonly link: Link;

  readonly load: LoadReport;

  role: Role;

  draining = false;

  private constructor(
    readonly options: EngineOptions,
    readonly history: EngineHistory,
  ) {
    this.role = options.role;
    this.memory = Memory.create(options.slots, options.blocks);
    this.cache = PrefixCache.create(options);
    this.queue = PrefillQueue.create(options.prefillTokensPerSecond, options.prefillOrder);
    this.link = Link.create(options.linkBytesPerSecond);
    this.results = PrefillResults.create(options.prefillResultMs, (result) => {
      this.history.addWastedPrefillTokens(result.computedTokens);
      this.releasePrefill(result.attempt.attemptId, 'expired');
    });
    this.reservations = Reservations.create(options.reservationMs, ({ attempt }) => {
      this.endAttempt(attempt.attemptId, 'expired');
    });
    this.load = LoadReport.create(() => this.measureLoad(), options.loadLagMs);
  }

  /**
   * Creates the state of an engine that has just started.
   *
   * @param options - size, speed and behaviour
   * @param history - records that are kept across restarts
   * @returns a new state with a new incarnation
   */
  static create(options: EngineOptions, history: EngineHistory): EngineState {
    return new EngineState(options, history);
  }

  /**
   * Ends the work of an attempt and releases all its holds.
   *
   * @param attemptId - the attempt
   * @param ended - how it ended
   * @returns the number of holds that were released
   */
  endAttempt(attemptId: string, ended: AttemptEnd): number {
    const dropped = this.results.dropAttempt(attemptId);
    dropped.forEach((result) => {
      this.history.addWastedPrefillTokens(result.computedTokens);
    });
    if (ended === 'cancelled') this.generations.stop(attemptId);
    this.reservations.drop(attemptId);
    this.cancellations.abort(attemptId);
    this.openCalls.remove(attemptId);
    this.history.attempts.recordEnd(attemptId, ended);
    return this.memory.releaseAttempt(attemptId);
  }

  /**
   * Releases the prefill holds of an attempt. A reservation of it on this engine is kept.
   *
   * @param attemptId - the attempt
   * @param ended - how the prefill ended
   */
  releasePrefill(attemptId: string, ended: AttemptEnd): void {
    this.memory.releaseKind(attemptId, 'prefill');
    if (this.reservations.find(attemptId)) return;
    this.cancellations.abort(attemptId);
    this.openCalls.remove(attemptId);
    this.history.attempts.recordEnd(attemptId, ended);
  }

  /** Stops all work without end markers, as a crash would do. */
  shutDown(): void {
    this.load.stop();
    this.generations.stopAll();
    this.results.clear();
    this.reservations.clear();
    this.cancellations.abortAll();
    this.history.attempts.recordRestart();
  }

  private measureLoad(): ReportedLoad {
    const { slotsFree, blocksFree } = this.memory;
    const { slots, blocks, prefillTokensPerSecond } = this.options;
    const queuedPrefillTokens = this.queue.queuedTokens;
    // One second of queued prefill counts as full, because no first token would arrive in time.
    const used = Math.max(
      1 - slotsFree / slots,
      1 - blocksFree / blocks,
      Math.min(1, queuedPrefillTokens / prefillTokensPerSecond),
    );
    const { draining, incarnation } = this;
    const level = Math.floor(used * 4);
    return { slotsFree, blocksFree, queuedPrefillTokens, level, draining, incarnation };
  }
}
