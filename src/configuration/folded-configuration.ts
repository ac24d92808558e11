import type { Stream } from 'most';

import type { Refusal } from '../domain/refusal.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { PeerHandlers } from '../peers/peers.js';
import type { LogRecord } from '../infrastructure/log-service.js';
import type { Settings } from '../settings/schema.js';
import { authenticateKey } from './authenticate.js';
import type { Change } from './change.js';
import { ChangeAppender } from './change-appender.js';
import {
  type ChangeVerdict,
  Configuration,
  type ConfigurationState,
  type Identity,
} from './configuration.js';
import { serializeFold } from './fold-json.js';
import { FoldTask } from './fold-task.js';
import { LogFollower } from './log-follower.js';
import { type Peer, PeerSource } from './peer-source.js';
import { SnapshotWriter } from './snapshot-writer.js';
import { WithdrawalGossip } from './withdrawal-gossip.js';
import { WithdrawnKeys } from './withdrawn-keys.js';

/**
 * Time for the log to deliver a record before it is fetched from a peer; it uses half a second of
 * the 4 s within which an accepted change must be in force on every VM.
 */
const PEER_FETCH_DELAY_MS = 500;

/** Minimum interval at which key withdrawals are resent to the same peer, in milliseconds. */
const RESEND_INTERVAL_MS = 1000;

/**
 * Configuration that is folded from the log's configuration stream, with peers as fallback source.
 */
export class FoldedConfiguration extends Configuration {
  private readonly withdrawnKeys = WithdrawnKeys.create();

  private readonly task: FoldTask;

  private readonly source: PeerSource;

  private readonly follower: LogFollower;

  private readonly appender: ChangeAppender;

  private readonly gossip: WithdrawalGossip;

  private readonly writer: SnapshotWriter;

  private readonly stopping = new AbortController();

  private catchingUp: Promise<void> | undefined;

  /** Time when key withdrawals were last resent to a peer, by VM name; monotonic, in milliseconds. */
  private readonly lastResendMs = new Map<string, number>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    settings: Settings,
  ) {
    super();
    this.task = FoldTask.create(this.withdrawnKeys);
    this.source = PeerSource.create(kernel, clock, this.task);
    this.follower = LogFollower.create(kernel, clock, this.task, this.source, this.withdrawnKeys);
    this.appender = ChangeAppender.create(kernel, clock, this.task, this.follower);
    this.gossip = WithdrawalGossip.create(
      kernel,
      clock,
      this.task,
      this.source,
      this.withdrawnKeys,
    );
    this.writer = SnapshotWriter.create(kernel, clock, this.task, settings.snapshots.everyMs);
  }

  /**
   * Creates the service.
   *
   * @param kernel - registry for looking up the log, peers, membership, VM list and logs
   * @param settings - the daemon's settings
   * @param clock - time source
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): FoldedConfiguration {
    return new FoldedConfiguration(kernel, clock, settings);
  }

  /** Starts reading; the first complete read may finish later, see `current`. */
  override async start(): Promise<void> {
    this.kernel.find('peers').handle(this.createHandlers());
    this.task.run();
    this.follower.start();
    this.writer.start();
    await Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all([this.follower.stop(), this.writer.stop(), this.gossip.stop()]);
    await this.catchingUp;
    this.task.close();
    this.withdrawnKeys.close();
  }

  override current(): ConfigurationState | undefined {
    return this.task.state;
  }

  override changes(): Stream<ConfigurationState> {
    return this.task.changes();
  }

  override async change(
    change: Change,
    base: number | undefined,
    operator: string,
  ): Promise<ChangeVerdict> {
    return this.appender.append(change, base, operator);
  }

  override withdraw(keyIds: readonly string[], operator?: string): readonly string[] {
    const by = operator ?? `vm/${this.kernel.find('membership').self().vm}`;
    const fresh = this.withdrawnKeys.add(keyIds, by);
    this.gossip.propagate(fresh, true);
    return fresh;
  }

  override withdrawn(): ReadonlySet<string> {
    return this.withdrawnKeys.all;
  }

  override withdrawnDigest(): string {
    return this.withdrawnKeys.digest();
  }

  override withdrawals(): Stream<string> {
    return this.withdrawnKeys.additions();
  }

  override authenticate(authorization: string | undefined): Outcome<Identity, Refusal> {
    return authenticateKey(this.task.state, this.withdrawnKeys.all, authorization);
  }

  override records(from: number, limit: number): readonly LogRecord[] {
    return this.task.records(from, limit);
  }

  override snapshot(): { readonly offset: number; readonly stateJson: string } | undefined {
    const fold = this.task.completeFold;
    return fold && { offset: fold.state.version, stateJson: serializeFold(fold) };
  }

  override observePeerOffset(offset: number, vm: string): void {
    if (offset <= this.task.version || this.catchingUp || this.stopping.signal.aborted) return;
    this.catchingUp = this.catchUp(offset, vm).finally(() => {
      this.catchingUp = undefined;
    });
  }

  override observePeerDigest(digest: string, vm: string): void {
    if (digest === this.withdrawnDigest() || this.stopping.signal.aborted) return;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - (this.lastResendMs.get(vm) ?? -Infinity) < RESEND_INTERVAL_MS) return;
    const peer = this.findPeer(vm);
    if (!peer) return;
    this.lastResendMs.set(vm, nowMs);
    this.gossip.resend(peer);
  }

  private async catchUp(offset: number, vm: string): Promise<void> {
    await this.clock.sleep(PEER_FETCH_DELAY_MS, this.stopping.signal);
    while (this.task.version < offset && !this.stopping.signal.aborted) {
      const peer = this.findPeer(vm);
      if (!peer || !(await this.source.fetchFrom(peer, 'snapshot'))) return;
    }
  }

  private findPeer(vm: string): Peer | undefined {
    return this.source.list().find((peer) => peer.vm === vm);
  }

  private createHandlers(): PeerHandlers {
    return {
      withdrawKeys: (request) => {
        const fresh = this.withdrawnKeys.add(request.keyIds, `vm/${request.sender?.vm ?? 'peer'}`);
        this.gossip.propagate(fresh, false);
        const sent = new Set(request.keyIds);
        return { keyIds: [...this.withdrawnKeys.unlogged.keys()].filter((id) => !sent.has(id)) };
      },
    };
  }
}
