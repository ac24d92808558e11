import type { DecodeQueueEntry } from '../relay/decode-queue.js';
import { MAX_ASKS, MAX_HELD, type Ask, type AskResult, type PlaceAsk } from './place-message.js';

/** A request for a place. */
export interface PlaceRequest extends DecodeQueueEntry {
  /** Engines that the request may not use. */
  readonly excluded: ReadonlySet<string>;
}

/** What became of a request for a place: `unserved`, when the granter is silent or declined. */
export type Verdict =
  | { readonly kind: 'granted'; readonly id: number; readonly server: string; readonly by: string }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly by: string }
  | { readonly kind: 'unserved'; readonly reason: 'silent' | 'declined'; readonly by: string };

/** The granters of a pool as this VM knows them. */
export interface GranterView {
  /** Their names, each as often as the engines that it grants. */
  readonly names: readonly string[];
  /** Returns the granter of an engine. */
  readonly granterOf: (server: string) => string | undefined;
}

/** Content of a message to a granter. */
export type AskContent = Pick<PlaceAsk, 'asks' | 'done' | 'rejected' | 'held'>;

interface Pending {
  readonly request: PlaceRequest;
  readonly granter: string;
  readonly settle: (verdict: Verdict) => void;
  /** Monotonic time of the last send, in milliseconds. */
  sentMs: number;
  /** Time of the first send that the granter has not answered; undefined when all are answered. */
  unansweredMs: number | undefined;
}

interface Held {
  readonly server: string;
  readonly kvTokens: number;
  /** The granter that granted it; undefined for an engine that this VM chose itself. */
  readonly granter: string | undefined;
}

interface Outgoing {
  readonly asks: Set<number>;
  readonly done: Set<number>;
  readonly rejected: Set<number>;
}

interface Suspension {
  untilMs: number;
  /** Length of the next one, in milliseconds. */
  nextMs: number;
}

/** Time after which a message without an answer is repeated, in milliseconds. */
const REPEAT_MS = 70;

/** Interval at which a request that waits at its granter is repeated, in milliseconds. */
const REFRESH_MS = 300;

/** Time without an answer after which a granter counts as silent, in milliseconds. */
const SILENCE_MS = 300;

/** Interval at which the list of held places is sent, in milliseconds. */
const LIST_INTERVAL_MS = 1000;

/** Time for which a granter that was silent or declined is not asked, in milliseconds; it doubles. */
const FIRST_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 8000;

/** Time between two ticks after which this VM, not a granter, was silent, in milliseconds. */
const PAUSE_MS = 250;

/** Asks the granters of a pool for places, repeats what is not answered, and tells them what is held. */
export class PlaceAsker {
  private readonly pending = new Map<number, Pending>();

  private readonly held = new Map<number, Held>();

  private readonly outgoing = new Map<string, Outgoing>();

  private readonly suspensions = new Map<string, Suspension>();

  /** Monotonic time of the last list of held places, in milliseconds, by granter. */
  private readonly listedMs = new Map<string, number>();

  /** Monotonic time of the last answer, in milliseconds, by granter. */
  private readonly heardMs = new Map<string, number>();

  private lastId = 0;

  private lastTickMs = -Infinity;

  private constructor(
    private readonly view: () => GranterView,
    private readonly random: () => number,
  ) {}

  /**
   * Creates an instance without requests.
   *
   * @param view - returns the granters as they are known now
   * @param random - returns random numbers from 0 to 1
   * @returns a new instance
   */
  static create(view: () => GranterView, random: () => number = Math.random): PlaceAsker {
    return new PlaceAsker(view, random);
  }

  /** Requests that wait for an answer or a place. */
  get requests(): PlaceRequest[] {
    return [...this.pending.values()].map(({ request }) => request);
  }

  /** True when there is nothing to repeat or to report. */
  get isIdle(): boolean {
    return this.pending.size === 0 && this.held.size === 0 && this.listedMs.size === 0;
  }

  /**
   * Asks a granter for a place.
   *
   * @param request - the request
   * @param settle - called once with what became of it
   * @param nowMs - monotonic time, in milliseconds
   * @returns id of the request, or undefined when no granter can be asked now
   */
  ask(
    request: PlaceRequest,
    settle: (verdict: Verdict) => void,
    nowMs: number,
  ): number | undefined {
    const names = this.view().names.filter((name) => !this.isSuspended(name, nowMs));
    const granter = names[Math.floor(this.random() * names.length)];
    if (granter === undefined) return undefined;
    this.lastId += 1;
    const pending = { request, granter, settle, sentMs: nowMs, unansweredMs: nowMs };
    this.pending.set(this.lastId, pending);
    this.outgoingTo(granter).asks.add(this.lastId);
    return this.lastId;
  }

  /**
   * Withdraws a request.
   *
   * @param id - id of the request; nothing happens when it does not wait
   */
  cancel(id: number): void {
    const known = this.pending.get(id);
    if (!known) return;
    this.pending.delete(id);
    this.outgoingTo(known.granter).asks.delete(id);
    this.outgoingTo(known.granter).done.add(id);
  }

  /**
   * Records a place that this VM took without a grant.
   *
   * @param server - id of the engine
   * @param kvTokens - KV cache tokens
   * @returns id of the place
   */
  occupy(server: string, kvTokens: number): number {
    this.lastId += 1;
    this.held.set(this.lastId, { server, kvTokens, granter: undefined });
    const granter = this.view().granterOf(server);
    // The list that is due then counts the place before the granter grants it again.
    if (granter !== undefined) this.listedMs.set(granter, -Infinity);
    return this.lastId;
  }

  /**
   * Gives a place back.
   *
   * @param id - id of the place; nothing happens when it is not held
   */
  release(id: number): void {
    this.giveBack(id, 'done');
  }

  /**
   * Gives a place back whose engine refused the reservation.
   *
   * @param id - id of the place
   */
  reject(id: number): void {
    this.giveBack(id, 'rejected');
  }

  /**
   * Handles the answer of a granter.
   *
   * @param granter - name of the granter
   * @param results - what became of requests
   * @param nowMs - monotonic time, in milliseconds
   */
  receive(granter: string, results: readonly AskResult[], nowMs: number): void {
    const declines = results.some(({ kind }) => kind === 'declined');
    // A granter that answers again has missed what was taken meanwhile.
    if (!declines && this.suspensions.delete(granter)) this.listedMs.set(granter, -Infinity);
    this.heardMs.set(granter, nowMs);
    results.forEach((result) => {
      const known = this.pending.get(result.id);
      if (known?.granter === granter) known.unansweredMs = undefined;
      this.apply(granter, result);
    });
    if (declines) this.suspend(granter, nowMs);
  }

  /**
   * Repeats unanswered requests and gives up on silent granters.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  tick(nowMs: number): void {
    const wasPaused = nowMs - this.lastTickMs > PAUSE_MS;
    this.lastTickMs = nowMs;
    const names = new Set(this.view().names);
    this.heardMs.forEach((_atMs, granter) => {
      if (!names.has(granter)) this.heardMs.delete(granter);
    });
    const silent = new Set<string>();
    this.pending.forEach((each, id) => {
      const { granter, sentMs } = each;
      const isRepeat = each.unansweredMs !== undefined;
      const unansweredMs = wasPaused ? nowMs : (each.unansweredMs ?? nowMs);
      const sinceMs = Math.max(unansweredMs, this.heardMs.get(granter) ?? -Infinity);
      if (wasPaused && isRepeat) Object.assign(each, { unansweredMs });
      if (nowMs - sinceMs > SILENCE_MS) silent.add(granter);
      else if (!names.has(granter)) this.settle(id, this.unserved(granter, 'declined'));
      else if (nowMs - sentMs >= (isRepeat ? REPEAT_MS : REFRESH_MS)) {
        Object.assign(each, { sentMs: nowMs, unansweredMs });
        this.outgoingTo(granter).asks.add(id);
      }
    });
    silent.forEach((granter) => {
      this.suspend(granter, nowMs);
      this.pending.forEach((each, id) => {
        if (each.granter !== granter) return;
        this.outgoingTo(granter).done.add(id);
        this.settle(id, this.unserved(granter, 'silent'));
      });
    });
  }

  /**
   * Takes the messages to be sent.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns contents by granter
   */
  takeMessages(nowMs: number): Map<string, AskContent> {
    const lists = this.takeLists(nowMs);
    const messages = new Map<string, AskContent>();
    const granters = new Set([...this.outgoing.keys(), ...lists.keys()]);
    granters.forEach((granter) => {
      const { asks, done, rejected } = this.outgoingTo(granter);
      const sent = [...asks].slice(0, MAX_ASKS);
      const held = lists.get(granter);
      messages.set(granter, {
        asks: sent.flatMap((id) => this.describe(id, nowMs)),
        done: [...done],
        rejected: [...rejected],
        ...(held ? { held } : {}),
      });
      sent.forEach((id) => asks.delete(id));
      done.clear();
      rejected.clear();
      if (asks.size === 0) this.outgoing.delete(granter);
    });
    return messages;
  }

  /** Lists the held places by granter; a granter without any is sent one empty list. */
  private takeLists(nowMs: number): Map<string, [number, string, number][]> {
    const lists = new Map<string, [number, string, number][]>();
    this.listedMs.forEach((_atMs, granter) => lists.set(granter, []));
    const { granterOf } = this.view();
    this.held.forEach(({ server, kvTokens }, id) => {
      const granter = granterOf(server);
      if (granter === undefined) return;
      if (!lists.has(granter)) lists.set(granter, []);
      lists.get(granter)!.push([id, server, kvTokens]);
    });
    lists.forEach((list, granter) => {
      const isDue = nowMs - (this.listedMs.get(granter) ?? -Infinity) >= LIST_INTERVAL_MS;
      if (!isDue || list.length > MAX_HELD) lists.delete(granter);
      else if (list.length > 0) this.listedMs.set(granter, nowMs);
      else this.listedMs.delete(granter);
    });
    return lists;
  }

  private apply(granter: string, result: AskResult): void {
    const { id } = result;
    const known = this.pending.get(id);
    if (result.kind === 'granted') {
      if (known) this.accept(id, known, granter, result.server);
      // The request has ended or is served elsewhere; the granter may not know it.
      else if (!this.held.has(id)) this.outgoingTo(granter).done.add(id);
      return;
    }
    if (!known || known.granter !== granter) return;
    if (result.kind === 'refused') {
      this.settle(id, { kind: 'refused', retryAfterMs: result.retryAfterMs, by: granter });
    } else if (result.kind === 'declined') this.settle(id, this.unserved(granter, 'declined'));
  }

  private accept(id: number, { request }: Pending, granter: string, server: string): void {
    this.held.set(id, { server, kvTokens: request.kvTokens, granter });
    this.settle(id, { kind: 'granted', id, server, by: granter });
  }

  private settle(id: number, verdict: Verdict): void {
    const known = this.pending.get(id);
    if (!known) return;
    this.pending.delete(id);
    this.outgoing.get(known.granter)?.asks.delete(id);
    known.settle(verdict);
  }

  private unserved(granter: string, reason: 'silent' | 'declined'): Verdict {
    return { kind: 'unserved', reason, by: granter };
  }

  private giveBack(id: number, how: 'done' | 'rejected'): void {
    const known = this.held.get(id);
    if (!known) return;
    this.held.delete(id);
    const granters = new Set([known.granter, this.view().granterOf(known.server)]);
    granters.forEach((granter) => {
      if (granter !== undefined) this.outgoingTo(granter)[how].add(id);
    });
  }

  private describe(id: number, nowMs: number): Ask[] {
    const request = this.pending.get(id)?.request;
    if (!request) return [];
    return [
      {
        id,
        team: request.team,
        rank: request.priority,
        kvTokens: request.kvTokens,
        startInMs: request.startByMs - nowMs,
        giveUpInMs: request.giveUpMs - nowMs,
        insideRate: request.insideRate,
        excluded: [...request.excluded],
      },
    ];
  }

  private isSuspended(granter: string, nowMs: number): boolean {
    return (this.suspensions.get(granter)?.untilMs ?? -Infinity) > nowMs;
  }

  private suspend(granter: string, nowMs: number): void {
    const ms = this.suspensions.get(granter)?.nextMs ?? FIRST_SUSPENSION_MS;
    const nextMs = Math.min(MAX_SUSPENSION_MS, 2 * ms);
    this.suspensions.set(granter, { untilMs: nowMs + ms, nextMs });
  }

  private outgoingTo(granter: string): Outgoing {
    const known = this.outgoing.get(granter);
    if (known) return known;
    const outgoing = {
      asks: new Set<number>(),
      done: new Set<number>(),
      rejected: new Set<number>(),
    };
    this.outgoing.set(granter, outgoing);
    return outgoing;
  }
}
