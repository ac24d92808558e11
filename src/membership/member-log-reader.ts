import type { Address } from '../domain/vm.js';
import type { LogPage, LogRecord } from '../infrastructure/log-service.js';
import { replayMemberRecords, listMembers, restoreMemberState } from './member-state.js';
import { parseMemberSnapshot } from './member-record.js';
import {
  attempt,
  createSender,
  MEMBERSHIP_STREAM,
  type MembershipContext,
} from './membership-context.js';

const PAGE_SIZE = 500;
const POLL_TIMEOUT_MS = 1000;
const RETRY_MS = 250;
const SNAPSHOT_TIMEOUT_MS = 3000;

/** Wait for a long poll of the log before a peer is asked, in milliseconds; it usually brings the epoch in time. */
const LOG_GRACE_MS = 300;

/** Reads the membership stream from the log, and from peers what the log does not supply. */
export class MemberLogReader {
  private reachedEnd = false;

  private reachable = false;

  private pendingEpoch = 0;

  private constructor(private readonly context: MembershipContext) {}

  /**
   * Creates a reader.
   *
   * @param context - provides the log and the peers
   * @returns a reader that has read nothing yet
   */
  static create(context: MembershipContext): MemberLogReader {
    return new MemberLogReader(context);
  }

  /** Returns true when the last read of the log succeeded. */
  isLogReachable(): boolean {
    return this.reachable;
  }

  /** Returns true when the log was read to its end at least once. */
  hasReachedEnd(): boolean {
    return this.reachedEnd;
  }

  /**
   * Reads the stream continuously until the service stops.
   *
   * @returns a promise that resolves after the stop
   */
  async follow(): Promise<void> {
    const { clock, signal } = this.context;
    while (!signal.aborted) {
      const startedMs = clock.monotonicMs();
      const page = await this.read(this.offset() + 1);
      this.reachable = page !== undefined;
      const progressed = page ? await this.apply(page) : await this.fetchFromPeer();
      if (progressed || signal.aborted) continue;
      const remainingMs = startedMs + RETRY_MS - clock.monotonicMs();
      if (remainingMs > 0) await clock.sleep(remainingMs, signal);
    }
  }

  /**
   * Catches up with a peer that reports a newer epoch. If the log does not supply the epoch within
   * LOG_GRACE_MS, the records are fetched from that peer.
   *
   * @param epoch - epoch that the peer reports
   * @param address - address of the peer
   * @returns a promise that resolves when this VM has caught up or the peer supplied nothing more
   */
  async catchUp(epoch: number, address: Address): Promise<void> {
    if (epoch <= this.offset() || epoch <= this.pendingEpoch) return;
    this.pendingEpoch = epoch;
    const { clock, signal } = this.context;
    await clock.sleep(LOG_GRACE_MS, signal);
    while (this.offset() < epoch && !signal.aborted) {
      const progressed = (await this.fetchRecords(address)) || (await this.fetchSnapshot(address));
      if (!progressed) break;
    }
    this.pendingEpoch = 0;
  }

  private offset(): number {
    return this.context.task.members().offset;
  }

  private async read(from: number): Promise<LogPage | undefined> {
    const { kernel, signal } = this.context;
    const query = {
      stream: MEMBERSHIP_STREAM,
      from,
      limit: PAGE_SIZE,
      waitMs: POLL_TIMEOUT_MS,
      signal,
    };
    const outcome = await kernel.find('log').read(query);
    return outcome.kind === 'ok' ? outcome.value : undefined;
  }

  private async apply(page: LogPage): Promise<boolean> {
    const before = this.offset();
    const [first] = page.records;
    if (first && first.offset > before + 1) {
      if (!(await this.restoreFromSnapshot())) await this.fetchFromPeer();
    } else this.context.task.send({ kind: 'records', records: page.records });
    // A lagging replica may report an older end offset, which is not the real end of the stream.
    if (page.endOffset === this.offset()) this.reachedEnd = true;
    return this.offset() > before;
  }

  /** Restores the state from the newest snapshot, after the log has dropped records that were not applied here. */
  private async restoreFromSnapshot(): Promise<boolean> {
    const records: LogRecord[] = [];
    let from = 1;
    for (;;) {
      const page = await this.read(from);
      if (!page) return false;
      records.push(...page.records);
      const last = records.at(-1)?.offset ?? 0;
      if (page.records.length === 0 || last >= page.endOffset) break;
      from = last + 1;
    }
    const state = replayMemberRecords(records);
    if (state) this.context.task.send({ kind: 'state', state });
    return state !== undefined;
  }

  private async fetchFromPeer(): Promise<boolean> {
    const address = this.choosePeer();
    if (!address) return false;
    if (this.offset() > 0 && (await this.fetchRecords(address))) return true;
    return this.fetchSnapshot(address);
  }

  private choosePeer(): Address | undefined {
    const { kernel, task } = this.context;
    const self = task.self().vm;
    const members = listMembers(task.members()).filter(({ vm }) => vm !== self);
    const listed = (kernel.find('vm-list').current()?.vms ?? []).filter(
      ({ name }) => name !== self,
    );
    const addresses = [
      ...members.map(({ peers }) => peers),
      ...listed.map(({ host, peerPort }) => ({ host, port: peerPort })),
    ];
    return addresses[Math.floor(Math.random() * addresses.length)];
  }

  private async fetchRecords(address: Address): Promise<boolean> {
    const before = this.offset();
    const answer = await attempt(
      this.context.kernel
        .find('peers')
        .client(address)
        .fetchRecords({
          sender: createSender(this.context),
          stream: MEMBERSHIP_STREAM,
          fromOffset: BigInt(before + 1),
          limit: PAGE_SIZE,
        }),
    );
    const records = (answer?.records ?? []).map(({ offset, timestampMs, data }) => ({
      offset: Number(offset),
      timestampMs: Number(timestampMs),
      data,
    }));
    // A peer keeps only recent records. Applied after a gap they would result in a list without the older
    // members, in which this VM could be its own only witness.
    const [first] = records;
    if (first && first.offset > this.offset() + 1) return false;
    this.context.task.send({ kind: 'records', records });
    return this.offset() > before;
  }

  private async fetchSnapshot(address: Address): Promise<boolean> {
    const before = this.offset();
    const request = { sender: createSender(this.context), stream: MEMBERSHIP_STREAM };
    const client = this.context.kernel.find('peers').client(address);
    const answer = await attempt(client.fetchSnapshot(request, { timeoutMs: SNAPSHOT_TIMEOUT_MS }));
    if (!answer?.available || Number(answer.offset) <= before) return false;
    const snapshot = parseMemberSnapshot(answer.stateJson);
    if (!snapshot) return false;
    this.context.task.send({
      kind: 'state',
      state: restoreMemberState(Number(answer.offset), snapshot),
    });
    return this.offset() > before;
  }
}
