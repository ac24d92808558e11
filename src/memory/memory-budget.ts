/** Limits of what a VM holds for connections that others have opened. */
export interface MemoryLimits {
  readonly bytes: number;
  readonly connections: number;
}

/** Why a connection was closed before its request or answer was complete. */
export type ReclaimReason = 'memory' | 'connections';

/** Receives what is closed to make room. */
export type ReclaimListener = (reason: ReclaimReason, holding: Holding) => void;

/** Memory that is held for one connection. */
export interface Holding {
  readonly bytes: number;
  readonly openedMs: number;
  /** Monotonic time at which the other side last sent or took something, in milliseconds. */
  readonly progressMs: number;
}

/** Up to this size, a holding may use the part of the budget that is kept for ordinary callers. */
const ORDINARY_BYTES = 131_072;

/** Part of the budget that larger holdings may use together. */
const LARGE_PART = 0.75;

/** Time without progress after which a connection is closed for one that needs room, in milliseconds. */
const STALL_MS = 500;

interface HoldingRecord {
  bytes: number;
  openedMs: number;
  progressMs: number;
  /** False while a server may be running a request of the connection. */
  reclaimable: boolean;
  readonly reclaim: () => void;
}

/**
 * Owner of the memory that a VM holds for others: connections, heads and bodies in arrival, bodies kept
 * until the answer, and answers that a slow reader has not taken. Admits or refuses before the memory is
 * used, and closes the connections that have stalled longest when another one needs their room.
 */
export class MemoryBudget {
  /** In the order of their last progress. */
  private readonly records = new Set<HoldingRecord>();

  private usedBytes = 0;

  private largeBytes = 0;

  private constructor(
    private readonly limits: MemoryLimits,
    private readonly onReclaim: ReclaimListener,
  ) {}

  /**
   * Creates a budget of which nothing is used.
   *
   * @param limits - what may be held
   * @param onReclaim - told of each connection that is closed to make room
   * @returns a new budget
   */
  static create(limits: MemoryLimits, onReclaim: ReclaimListener = () => {}): MemoryBudget {
    return new MemoryBudget(limits, onReclaim);
  }

  /** Bytes that are held. */
  get used(): number {
    return this.usedBytes;
  }

  /** Number of connections. */
  get connections(): number {
    return this.records.size;
  }

  /** True when there are as many connections as may be open. */
  get isFull(): boolean {
    return this.records.size >= this.limits.connections;
  }

  /** Bytes that may be held. */
  get limit(): number {
    return this.limits.bytes;
  }

  /**
   * Admits a connection. Its holding can be reclaimed until `setReclaimable` says otherwise.
   *
   * @param bytes - what a connection costs before it has sent anything
   * @param reclaim - closes the connection; called at most once, after the holding has been closed
   * @param nowMs - monotonic time, in milliseconds
   * @returns the holding, or undefined when there is no room
   */
  open(bytes: number, reclaim: () => void, nowMs: number): Holding | undefined {
    const record = { bytes: 0, openedMs: nowMs, progressMs: nowMs, reclaimable: true, reclaim };
    if (this.isFull && !this.reclaimOne('connections', 0, nowMs)) return undefined;
    this.records.add(record);
    if (this.reserve(record, bytes, nowMs)) return record;
    this.records.delete(record);
    return undefined;
  }

  /**
   * Reserves memory before it is used. Closes stalled connections when there is no room; an ordinary
   * holding also closes those that have been in arrival longer.
   *
   * @param holding - holding of an open connection
   * @param bytes - memory beyond what it holds
   * @param nowMs - monotonic time, in milliseconds
   * @returns false when there is no room; nothing is reserved then
   */
  reserve(holding: Holding, bytes: number, nowMs: number): boolean {
    const record = this.find(holding);
    if (!record) return false;
    const isLarge = record.bytes + bytes > ORDINARY_BYTES;
    const fits = () =>
      this.usedBytes + bytes <= this.limits.bytes &&
      (!isLarge || this.largeBytesWith(record, bytes) <= this.limits.bytes * LARGE_PART);
    while (!fits()) {
      if (!this.reclaimOne('memory', isLarge ? STALL_MS : 0, nowMs, record)) return false;
    }
    this.resize(record, record.bytes + bytes);
    return true;
  }

  /**
   * Counts memory that is already in use, for example an answer that its reader does not take. Closes
   * connections, in the end this one, until the budget is kept.
   *
   * @param holding - holding of an open connection
   * @param bytes - memory beyond what it holds
   * @param nowMs - monotonic time, in milliseconds
   */
  add(holding: Holding, bytes: number, nowMs: number): void {
    const record = this.find(holding);
    if (!record) return;
    this.resize(record, record.bytes + bytes);
    while (this.usedBytes > this.limits.bytes) {
      if (!this.reclaimOne('memory', 0, nowMs)) return;
    }
  }

  /**
   * Gives back a part of a holding.
   *
   * @param holding - an open or a closed holding
   * @param bytes - at most what it holds
   */
  release(holding: Holding, bytes: number): void {
    const record = this.find(holding);
    if (record) this.resize(record, record.bytes - bytes);
  }

  /**
   * Records that the other side has sent or taken something.
   *
   * @param holding - an open or a closed holding
   * @param nowMs - monotonic time, in milliseconds
   */
  progress(holding: Holding, nowMs: number): void {
    const record = this.find(holding);
    if (!record) return;
    record.progressMs = nowMs;
    this.records.delete(record);
    this.records.add(record);
  }

  /**
   * Sets whether the connection may be closed to make room.
   *
   * @param holding - an open or a closed holding
   * @param reclaimable - false while a server may be running its request
   */
  setReclaimable(holding: Holding, reclaimable: boolean): void {
    const record = this.find(holding);
    if (record) record.reclaimable = reclaimable;
  }

  /**
   * Gives back all that a connection holds; has no effect on a closed holding.
   *
   * @param holding - the holding
   */
  close(holding: Holding): void {
    const record = this.find(holding);
    if (!record) return;
    this.resize(record, 0);
    this.records.delete(record);
  }

  private find(holding: Holding): HoldingRecord | undefined {
    const record = holding as HoldingRecord;
    return this.records.has(record) ? record : undefined;
  }

  private resize(record: HoldingRecord, bytes: number): void {
    this.usedBytes += bytes - record.bytes;
    this.largeBytes += largePart(bytes) - largePart(record.bytes);
    Object.assign(record, { bytes });
  }

  private largeBytesWith(record: HoldingRecord, bytes: number): number {
    return this.largeBytes - largePart(record.bytes) + largePart(record.bytes + bytes);
  }

  /** Closes the connection that has made no progress for the longest time. */
  private reclaimOne(
    reason: ReclaimReason,
    minStallMs: number,
    nowMs: number,
    except?: HoldingRecord,
  ): boolean {
    for (const record of this.records) {
      if (nowMs - record.progressMs < minStallMs) return false;
      if (record.reclaimable && record !== except) {
        this.onReclaim(reason, { ...record });
        this.close(record);
        record.reclaim();
        return true;
      }
    }
    return false;
  }
}

function largePart(bytes: number): number {
  return bytes > ORDINARY_BYTES ? bytes : 0;
}
