import type { DecodeQueueEntry } from '../relay/decode-queue.js';
import type { CatalogServer } from '../relay/server-catalog.js';
import type { DecodeCapacity } from '../relay/server-picker.js';
import { PlaceLedger, type EngineUse, type PlaceNeed } from './place-ledger.js';
import type { Ask, AskResult, PlaceAsk } from './place-message.js';
import { PlaceQueue } from './place-queue.js';
import { StartRate } from './start-rate.js';

/** What a granter knows of its engines. */
export interface GranterFacts {
  /** Lists the usable engines of this granter; those to be avoided only when there are no others. */
  readonly servers: (nowMs: number) => readonly CatalogServer[];
  /** Returns the capacity of an empty engine. */
  readonly capacity: () => DecodeCapacity;
  /** Returns the use of an engine that digests report. */
  readonly reported: (server: string) => EngineUse;
}

/** Answers to the process of a VM that asked. */
export interface Reply {
  readonly host: string;
  readonly vm: string;
  readonly incarnation: string;
  readonly results: AskResult[];
}

interface Waiter extends DecodeQueueEntry, PlaceNeed {
  readonly id: number;
  readonly asker: Asker;
  /** Monotonic time of the last ask, in milliseconds. */
  askedMs: number;
}

interface Asker {
  readonly key: string;
  readonly host: string;
  readonly vm: string;
  readonly incarnation: string;
  /** Requests that wait, by id. */
  readonly waiters: Map<number, Waiter>;
  /** Requests that hold a place, by id. */
  readonly granted: Map<number, Waiter>;
  /** Highest sequence number received. */
  sequence: number;
  heardMs: number;
}

/** Time without a repetition after which a request counts as withdrawn, in milliseconds. */
const WAITER_EXPIRY_MS = 1500;

/** Time without a message after which an asker is forgotten, in milliseconds. */
const ASKER_EXPIRY_MS = 10_000;

/** Time without activity after which a granter learns again what has been taken, in milliseconds. */
const PAUSE_MS = 500;

/**
 * Time after its creation or a pause in which a granter also counts the load that digests report, in milliseconds:
 * until the VMs have sent lists of the places that they hold.
 */
const LEARNING_MS = 1500;

/**
 * Grants the places of some engines of a pool to the requests of all VMs, in the order of its queue. Its
 * state is lost when it ends; the next granter learns it from digests and from those who ask again.
 */
export class Granter {
  private readonly ledger = PlaceLedger.create();

  private readonly queue = PlaceQueue.create<Waiter>();

  private readonly rate = StartRate.create();

  private readonly askers = new Map<string, Asker>();

  private replies = new Map<Asker, AskResult[]>();

  /** Monotonic time at which it last began to learn what is taken, in milliseconds. */
  private learningMs: number;

  /** Monotonic time at which it was last active as a granter, in milliseconds. */
  private activeMs: number;

  private constructor(
    private readonly facts: GranterFacts,
    createdMs: number,
  ) {
    this.learningMs = createdMs;
    this.activeMs = createdMs;
  }

  /**
   * Creates a granter that knows of no places.
   *
   * @param facts - engines and their capacity
   * @param nowMs - monotonic time, in milliseconds
   * @returns a granter with an empty queue
   */
  static create(facts: GranterFacts, nowMs: number): Granter {
    return new Granter(facts, nowMs);
  }

  /** Number of waiting requests by rank. */
  get waiting(): ReadonlyMap<number, number> {
    return this.queue.sizes;
  }

  /**
   * Returns the places that are known to be taken at an engine.
   *
   * @param server - id of the engine
   * @returns places and their tokens
   */
  usedAt(server: string): EngineUse {
    return this.ledger.usedAt(server);
  }

  /**
   * Handles a message of a VM; repeated messages have no further effect.
   *
   * @param message - requests, returned places and held places
   * @param nowMs - monotonic time, in milliseconds
   */
  receive(message: PlaceAsk, nowMs: number): void {
    if (message.asks.length > 0) this.recordActivity(nowMs);
    const asker = this.findAsker(message, nowMs);
    const isLatest = message.sequence > asker.sequence;
    asker.sequence = Math.max(asker.sequence, message.sequence);
    asker.heardMs = nowMs;
    this.ledger.recordContact(asker.key, nowMs);
    message.rejected.forEach((id) => this.takeBack(asker, id, nowMs));
    message.done.forEach((id) => this.end(asker, id, nowMs));
    // A list that was overtaken by a later message may name places that have been given back.
    if (message.held && isLatest) this.ledger.replace(asker.key, message.held, nowMs);
    message.asks.forEach((ask) => this.ask(asker, ask, message.zone, nowMs));
    this.dispatch(nowMs);
  }

  /**
   * Refuses the waiting requests that cannot be served in time, and drops what its askers have forgotten.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  tick(nowMs: number): void {
    this.recordActivity(nowMs);
    this.expire(nowMs);
    this.dispatch(nowMs);
  }

  /** Grants free places to waiting requests. */
  private dispatch(nowMs: number): void {
    if (this.queue.size === 0) return;
    const servers = this.facts.servers(nowMs);
    const capacity = this.facts.capacity();
    const isLearning = nowMs < this.learningMs + LEARNING_MS;
    const reported = isLearning ? this.facts.reported : undefined;
    const choose = (waiter: Waiter) =>
      this.ledger.choose(servers, waiter, capacity, nowMs, reported);
    for (let blocked = false; !blocked;) {
      blocked = true;
      for (const waiter of this.queue.heads()) {
        const server = choose(waiter);
        if (server) {
          this.grant(waiter, server, nowMs);
          blocked = false;
          break;
        }
        // Only a request that may not use some engines is overtaken; one that needs much memory keeps its turn.
        if (waiter.excluded.size === 0) break;
      }
    }
  }

  /**
   * Takes the answers to be sent.
   *
   * @returns answers by VM
   */
  takeReplies(): Reply[] {
    const { replies } = this;
    this.replies = new Map();
    return [...replies].map(([{ host, vm, incarnation }, results]) => ({
      ...{ host, vm, incarnation },
      results,
    }));
  }

  /** Declines all waiting requests, because this VM is no granter any more. */
  resign(): void {
    this.queue.entries.forEach((waiter) => {
      this.forget(waiter);
      this.reply(waiter.asker, { kind: 'declined', id: waiter.id });
    });
  }

  /** After a pause, as of a frozen VM, what it knows of places is old. */
  private recordActivity(nowMs: number): void {
    if (nowMs - this.activeMs > PAUSE_MS) this.learningMs = nowMs;
    this.activeMs = nowMs;
  }

  private ask(asker: Asker, ask: Ask, zone: string, nowMs: number): void {
    const { id } = ask;
    const held = this.ledger.find(asker.key, id);
    const waiting = asker.waiters.get(id);
    if (held) this.reply(asker, { kind: 'granted', id, server: held.server });
    if (waiting) {
      waiting.askedMs = nowMs;
      this.reply(asker, { kind: 'queued', id });
    }
    if (held || waiting) return;
    const waiter: Waiter = {
      ...{ id, asker, zone, askedMs: nowMs },
      team: ask.team,
      kvTokens: ask.kvTokens,
      priority: ask.rank,
      insideRate: ask.insideRate,
      startByMs: nowMs + ask.startInMs,
      giveUpMs: nowMs + ask.giveUpInMs,
      excluded: new Set(ask.excluded),
    };
    asker.waiters.set(id, waiter);
    const startsPerSecond = this.startsPerSecond(nowMs);
    const { retryAfterMs, evicted } = this.queue.add(waiter, startsPerSecond, nowMs);
    if (evicted) this.refuse(evicted, Math.max(1, (this.queue.size * 1000) / startsPerSecond));
    if (retryAfterMs > 0) this.refuse(waiter, retryAfterMs);
    else if (evicted !== waiter) this.reply(asker, { kind: 'queued', id });
  }

  private grant(waiter: Waiter, server: CatalogServer, nowMs: number): void {
    const { asker, id, kvTokens } = waiter;
    this.queue.take(waiter);
    asker.waiters.delete(id);
    asker.granted.set(id, waiter);
    this.ledger.take(asker.key, id, server.id, kvTokens, nowMs);
    this.rate.recordStart(nowMs);
    this.reply(asker, { kind: 'granted', id, server: server.id });
  }

  private end(asker: Asker, id: number, nowMs: number): void {
    const waiter = asker.waiters.get(id);
    if (waiter) this.forget(waiter);
    asker.granted.delete(id);
    const place = this.ledger.release(asker.key, id);
    if (place) this.rate.recordEnd(nowMs - place.sinceMs, place.kvTokens);
  }

  private takeBack(asker: Asker, id: number, nowMs: number): void {
    const place = this.ledger.release(asker.key, id);
    if (place) this.ledger.recordFull(place.server, nowMs);
    const waiter = asker.granted.get(id);
    asker.granted.delete(id);
    if (waiter) this.queue.refund(waiter);
  }

  private refuse(waiter: Waiter, retryAfterMs: number): void {
    this.forget(waiter);
    const { asker, id } = waiter;
    this.reply(asker, { kind: 'refused', id, retryAfterMs: Math.ceil(retryAfterMs) });
  }

  private forget(waiter: Waiter): void {
    this.queue.remove(waiter);
    waiter.asker.waiters.delete(waiter.id);
  }

  private reply(asker: Asker, result: AskResult): void {
    const results = this.replies.get(asker) ?? [];
    const others = results.filter(({ id }) => id !== result.id);
    this.replies.set(asker, [...others, result]);
  }

  private expire(nowMs: number): void {
    this.ledger.expire(nowMs);
    this.queue.entries.forEach((waiter) => {
      if (nowMs - waiter.askedMs > WAITER_EXPIRY_MS) this.forget(waiter);
    });
    this.queue
      .expire(this.startsPerSecond(nowMs), nowMs)
      .forEach(({ entry, retryAfterMs }) => this.refuse(entry, retryAfterMs));
    this.askers.forEach((asker, vm) => {
      if (nowMs - asker.heardMs > ASKER_EXPIRY_MS) this.askers.delete(vm);
    });
  }

  private startsPerSecond(nowMs: number): number {
    const servers = this.facts.servers(nowMs);
    const { slots, kvTokens } = this.facts.capacity();
    const places = servers.reduce((sum, server) => sum + Math.min(slots, server.slots), 0);
    return this.rate.perSecond(places, kvTokens * servers.length, nowMs);
  }

  private findAsker({ vm, incarnation, host }: PlaceAsk, nowMs: number): Asker {
    const known = this.askers.get(vm);
    if (known?.incarnation === incarnation) return known;
    if (known) {
      // The connections of the old process are closed, so its requests have ended.
      known.waiters.forEach((waiter) => this.forget(waiter));
      this.ledger.releaseAll(known.key);
    }
    const asker: Asker = {
      ...{ key: `${vm}/${incarnation}`, host, vm, incarnation, sequence: -1, heardMs: nowMs },
      waiters: new Map(),
      granted: new Map(),
    };
    this.askers.set(vm, asker);
    return asker;
  }
}
