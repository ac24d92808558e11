import type { CatalogServer } from '../relay/server-catalog.js';
import type { DecodeCapacity } from '../relay/server-picker.js';

/** A place at an engine that is granted to a request. */
export interface Place {
  readonly server: string;
  readonly kvTokens: number;
  /** Monotonic time of the grant, in milliseconds. */
  readonly sinceMs: number;
}

/** Requests and KV cache tokens at an engine. */
export interface EngineUse {
  readonly running: number;
  readonly kvTokens: number;
}

/** Requirements of a place. */
export interface PlaceNeed {
  readonly kvTokens: number;
  /** Availability zone of the VM that asks. */
  readonly zone: string;
  readonly excluded: ReadonlySet<string>;
}

/** Time without a message after which the places of a VM count as given back, in milliseconds. */
const HOLDER_EXPIRY_MS = 3000;

/** Age up to which a place is kept although the holder's list, sent before its grant arrived, lacks it. */
const LIST_GRACE_MS = 600;

/** Time for which an engine that refused a reservation is not granted, in milliseconds. */
const FULL_MS = 250;

/** Handicap for an engine of another zone, as a fraction of its capacity. */
const CROSS_ZONE_PENALTY = 0.05;

const UNUSED: EngineUse = { running: 0, kvTokens: 0 };

interface Holder {
  readonly places: Map<number, Place>;
  heardMs: number;
}

/** Counts the places taken at engines, from grants and from the lists of the VMs that hold them. */
export class PlaceLedger {
  private readonly holders = new Map<string, Holder>();

  private readonly used = new Map<string, EngineUse>();

  private readonly fullUntilMs = new Map<string, number>();

  /**
   * Creates an empty ledger.
   *
   * @returns a ledger without places
   */
  static create(): PlaceLedger {
    return new PlaceLedger();
  }

  /**
   * Returns what is taken at an engine.
   *
   * @param server - id of the engine
   * @returns places and their tokens
   */
  usedAt(server: string): EngineUse {
    return this.used.get(server) ?? UNUSED;
  }

  /**
   * Finds a place.
   *
   * @param holder - process that holds it
   * @param id - id of the place at that process
   * @returns the place, or undefined when it is not held
   */
  find(holder: string, id: number): Place | undefined {
    return this.holders.get(holder)?.places.get(id);
  }

  /**
   * Chooses the least used engine with a free place.
   *
   * @param servers - usable engines
   * @param need - requirements of the place
   * @param capacity - capacity of an empty engine
   * @param nowMs - monotonic time, in milliseconds
   * @param reported - returns the use that digests report; the larger one counts
   * @returns the engine, or undefined when none has a free place
   */
  choose(
    servers: readonly CatalogServer[],
    need: PlaceNeed,
    capacity: DecodeCapacity,
    nowMs: number,
    reported: (server: string) => EngineUse = () => UNUSED,
  ): CatalogServer | undefined {
    let best: { server: CatalogServer; score: number } | undefined;
    servers.forEach((server) => {
      if (need.excluded.has(server.id) || (this.fullUntilMs.get(server.id) ?? 0) > nowMs) return;
      const [own, other] = [this.usedAt(server.id), reported(server.id)];
      const running = Math.max(own.running, other.running);
      const kvTokens = Math.max(own.kvTokens, other.kvTokens);
      const fits =
        running + 1 <= Math.min(capacity.slots, server.slots) &&
        kvTokens + need.kvTokens <= capacity.kvTokens;
      if (!fits) return;
      const penalty = server.availabilityZone === need.zone ? 0 : CROSS_ZONE_PENALTY;
      const used = Math.max(running / capacity.slots, kvTokens / capacity.kvTokens);
      if (!best || used + penalty < best.score) best = { server, score: used + penalty };
    });
    return best?.server;
  }

  /**
   * Records a place as taken.
   *
   * @param holder - process that holds it
   * @param id - id of the place at that process
   * @param server - id of the engine
   * @param kvTokens - KV cache tokens
   * @param nowMs - monotonic time, in milliseconds
   */
  take(holder: string, id: number, server: string, kvTokens: number, nowMs: number): void {
    this.release(holder, id);
    const known = this.holders.get(holder) ?? { places: new Map<number, Place>(), heardMs: nowMs };
    this.holders.set(holder, known);
    known.places.set(id, { server, kvTokens, sinceMs: nowMs });
    this.adjust(server, 1, kvTokens);
  }

  /**
   * Gives a place back.
   *
   * @param holder - process that held it
   * @param id - id of the place at that process
   * @returns the place, or undefined when it was not held
   */
  release(holder: string, id: number): Place | undefined {
    const known = this.holders.get(holder);
    const place = known?.places.get(id);
    if (!known || !place) return undefined;
    known.places.delete(id);
    this.adjust(place.server, -1, -place.kvTokens);
    return place;
  }

  /**
   * Records that an engine refused a reservation for a place that seemed free.
   *
   * @param server - id of the engine
   * @param nowMs - monotonic time, in milliseconds
   */
  recordFull(server: string, nowMs: number): void {
    this.fullUntilMs.set(server, nowMs + FULL_MS);
  }

  /**
   * Records a message of a holder, which shows that it still runs.
   *
   * @param holder - the process
   * @param nowMs - monotonic time, in milliseconds
   */
  recordContact(holder: string, nowMs: number): void {
    const known = this.holders.get(holder);
    if (known) known.heardMs = nowMs;
  }

  /**
   * Replaces the places of a holder by its own list.
   *
   * @param holder - the process
   * @param held - id, engine and tokens of each place
   * @param nowMs - monotonic time, in milliseconds
   */
  replace(
    holder: string,
    held: readonly (readonly [number, string, number])[],
    nowMs: number,
  ): void {
    const listed = new Set(held.map(([id]) => id));
    this.holders.get(holder)?.places.forEach(({ sinceMs }, id) => {
      if (!listed.has(id) && nowMs - sinceMs > LIST_GRACE_MS) this.release(holder, id);
    });
    held.forEach(([id, server, kvTokens]) => {
      if (!this.find(holder, id)) this.take(holder, id, server, kvTokens, nowMs);
    });
  }

  /**
   * Gives back all places of a process that has ended.
   *
   * @param holder - the process
   */
  releaseAll(holder: string): void {
    this.holders.get(holder)?.places.forEach((_place, id) => this.release(holder, id));
    this.holders.delete(holder);
  }

  /**
   * Gives back the places of holders that are silent.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  expire(nowMs: number): void {
    this.holders.forEach(({ heardMs }, holder) => {
      if (nowMs - heardMs > HOLDER_EXPIRY_MS) this.releaseAll(holder);
    });
    this.fullUntilMs.forEach((untilMs, server) => {
      if (untilMs <= nowMs) this.fullUntilMs.delete(server);
    });
  }

  private adjust(server: string, running: number, kvTokens: number): void {
    const before = this.usedAt(server);
    const after = { running: before.running + running, kvTokens: before.kvTokens + kvTokens };
    if (after.running === 0) this.used.delete(server);
    else this.used.set(server, after);
  }
}
