import { randomUUID } from 'node:crypto';

import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import { Backoff } from './backoff.js';
import type { FoldTask } from './fold-task.js';
import type { Peer, PeerSource } from './peer-source.js';
import { encodeChange } from './record.js';
import { CONFIGURATION_STREAM } from './stream-name.js';
import type { WithdrawnKeys } from './withdrawn-keys.js';

/** With 8 random targets per hop, a key withdrawal reaches all of 390 daemons within three hops. */
const GOSSIP_FANOUT = 8;
const MAX_SEND_ATTEMPTS = 3;
const RECORDS_PER_APPEND = 100;

/**
 * Time that daemons which received a withdrawal from a peer leave its append to the daemon of
 * origin (up to twice as long, at random). Also the maximum wait for own appends to be read back.
 */
const ORIGIN_APPEND_TIMEOUT_MS = 5000;

/** Propagates withdrawn keys to the other daemons by gossip and appends them to the log. */
export class WithdrawalGossip {
  private readonly stopping = new AbortController();

  private readonly running = new Set<Promise<void>>();

  private appending = false;

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly task: FoldTask,
    private readonly source: PeerSource,
    private readonly withdrawn: WithdrawnKeys,
  ) {}

  /**
   * Creates an instance without running sends or appends.
   *
   * @param kernel - registry for looking up the log
   * @param clock - clock used for backoff
   * @param task - fold that knows the current version of each subject
   * @param source - access to the other daemons
   * @param withdrawn - the set of withdrawn keys
   * @returns a new instance
   */
  static create(
    kernel: Kernel,
    clock: Clock,
    task: FoldTask,
    source: PeerSource,
    withdrawn: WithdrawnKeys,
  ): WithdrawalGossip {
    return new WithdrawalGossip(kernel, clock, task, source, withdrawn);
  }

  /**
   * Sends withdrawn keys to up to 8 peers and appends them to the log, both in the background.
   *
   * @param keyIds - keys that became withdrawn on this VM
   * @param origin - true when an operator withdrew them on this VM, false when a peer sent them
   */
  propagate(keyIds: readonly string[], origin: boolean): void {
    if (keyIds.length === 0) return;
    const targets = this.source.list().slice(0, GOSSIP_FANOUT);
    targets.forEach((peer) => this.track(this.send(peer, keyIds)));
    this.track(this.appendLater(origin ? 0 : ORIGIN_APPEND_TIMEOUT_MS * (1 + Math.random())));
  }

  /**
   * Sends a peer the withdrawn keys that are not in the log yet.
   *
   * @param peer - peer to send them to
   */
  resend(peer: Peer): void {
    const keyIds = [...this.withdrawn.unlogged.keys()];
    if (keyIds.length > 0) this.track(this.send(peer, keyIds));
  }

  /**
   * Aborts the sends and appends in progress.
   *
   * @returns a promise that resolves when all of them have ended
   */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.running);
  }

  private track(work: Promise<void>): void {
    this.running.add(work);
    void work.finally(() => this.running.delete(work));
  }

  private async send(peer: Peer, keyIds: readonly string[]): Promise<void> {
    const backoff = Backoff.create(this.clock, 200, 1000);
    for (let tries = 0; tries < MAX_SEND_ATTEMPTS && !this.stopping.signal.aborted; tries += 1) {
      const answer = await this.source.exchangeWithdrawals(peer, keyIds);
      if (answer) {
        this.propagate(this.withdrawn.add(answer, `vm/${peer.vm}`), false);
        return;
      }
      await backoff.wait(this.stopping.signal);
    }
  }

  private async appendLater(delayMs: number): Promise<void> {
    if (delayMs > 0) await this.clock.sleep(delayMs, this.stopping.signal);
    if (this.appending) return;
    this.appending = true;
    const backoff = Backoff.create(this.clock, 200, 5000);
    while (this.withdrawn.unlogged.size > 0 && !this.stopping.signal.aborted) {
      const appended = await this.appendUnlogged();
      if (appended) backoff.reset();
      await backoff.wait(this.stopping.signal);
    }
    this.appending = false;
  }

  private async appendUnlogged(): Promise<boolean> {
    const entries = [...this.withdrawn.unlogged].slice(0, RECORDS_PER_APPEND);
    const records = entries.map(([keyId, operator]) =>
      encodeChange(randomUUID(), this.baseOf(keyId), operator, { kind: 'withdraw-key', keyId }),
    );
    const outcome = await this.kernel.find('log').append(CONFIGURATION_STREAM, records);
    if (outcome.kind === 'failed') return false;
    await this.waitUntilFolded(outcome.value + records.length - 1);
    return true;
  }

  /** Prevents appending the same keys again before their records have been read back. */
  private async waitUntilFolded(offset: number): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + ORIGIN_APPEND_TIMEOUT_MS;
    while (this.task.version < offset && this.clock.monotonicMs() < deadlineMs) {
      if (this.stopping.signal.aborted) return;
      await this.clock.sleep(50, this.stopping.signal);
    }
  }

  private baseOf(keyId: string): number {
    return this.task.state?.subjects.get(`key/${keyId}`) ?? 0;
  }
}
