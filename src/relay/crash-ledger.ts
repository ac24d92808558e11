import { indexBySuspect, shareEqualLists } from './crash-index.js';
import {
  limitReport,
  limitSoundReports,
  MAX_REPORTED_CRASHES,
  MAX_REPORTED_SOUND,
  rankSuspects,
  type CrashReport,
  type SoundReport,
} from './crash-reports.js';
import { isPromptPart } from './crash-suspects.js';
import type { CatalogServer } from './server-catalog.js';

/** Number of crashes from which on a request is quarantined. */
const MIN_CRASHES = 2;

/** Number of crashes from which on the requests with a prompt part are quarantined. */
const MIN_PART_CRASHES = 3;

/** Number of crashes from which on prompts with a part are only tried while another part has the same crashes. */
const CERTAIN_CRASHES = 5;

/** Quarantine after the least number of crashes, in milliseconds; each further crash multiplies it. */
const INITIAL_QUARANTINE_MS = 15_000;
const QUARANTINE_FACTOR = 4;

/** Longest quarantine before jitter, in milliseconds. */
const MAX_QUARANTINE_MS = 300_000;

/** Time for which crashes are remembered, in milliseconds. */
const CRASH_EXPIRY_MS = 600_000;

/** Time within which a server must be seen to be gone after a connection to it broke, in milliseconds. */
const CONFIRMATION_MS = 5000;

/** Time for which a complete answer clears a prompt part of crashes that come after it, in milliseconds. */
const SOUND_EXPIRY_MS = 10_000;

/** Maximum number of crashes, of broken connections without confirmation, and of suspects of a crash. */
const MAX_CRASHES = 128;
const MAX_BREAKS = 256;
const MAX_SUSPECTS = 512;

/** Maximum number of prompt parts that are remembered as sound. */
const MAX_SOUND_PARTS = 4096;

/** Time for which a crash is reported that shares no suspect with another one, in milliseconds. */
const UNRELATED_REPORT_MS = 10_000;

interface Crash {
  readonly id: string;
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
  readonly suspects: Set<string>;
  /** Former suspects that a server has answered completely. */
  readonly cleared: Set<string>;
}

interface Break {
  readonly server: CatalogServer;
  readonly atMs: number;
  readonly suspects: readonly string[];
  /** How long the server had been answering, in milliseconds. */
  readonly answeredMs: number;
  /** True when the server was silent, so that only its next start tells that it has crashed. */
  readonly isSilent: boolean;
}

/** Why a request is quarantined. */
export interface CrashCause {
  readonly suspect: string;
  readonly crashes: number;
  /** Remaining quarantine, in milliseconds. */
  readonly remainingMs: number;
  /** Name of the crashes, the same for all parts that have the same ones. */
  readonly group: string;
  /** True when a part that the request does not contain explains the crashes as well. */
  readonly isUndecided: boolean;
}

/**
 * Whether something that a request does not contain explains the crashes of one of its parts: nothing, something
 * equally well, or something so much better that the part is excused.
 */
type Explanation = 'none' | 'equal' | 'better';

/** Tells whether a server has ended, or cannot be reached unless it was silent, since a time. */
export type ServerEndCheck = (server: CatalogServer, sinceMs: number, isSilent: boolean) => boolean;

/**
 * Finds the requests that crash servers. A server that is gone after its connections broke has crashed,
 * and the requests that it had not begun to answer, or only just, are suspects, until a server answers
 * one like them. VMs exchange the crashes that they know; merging them is idempotent and needs no order.
 */
export class CrashLedger {
  /** Crashes by server and incarnation, the oldest first. */
  private readonly crashes = new Map<string, Crash>();

  private breaks: Break[] = [];

  /** When a server last answered a prompt with a part, as monotonic time in milliseconds; the oldest first. */
  private readonly soundParts = new Map<string, number>();

  /** Crashes of each suspect that is not cleared; undefined after a change. */
  private index: ReadonlyMap<string, readonly Crash[]> | undefined;

  /** Breaks of each suspect that count before they are confirmed; undefined after a change. */
  private breakIndex: ReadonlyMap<string, readonly Break[]> | undefined;

  /** Factor of this VM's quarantines, 1 to 2: if they ended at once, every VM would send the next request. */
  private readonly jitter: number;

  private constructor(
    private readonly hasEnded: ServerEndCheck,
    random: () => number,
  ) {
    this.jitter = 1 + random();
  }

  /**
   * Creates a ledger without crashes.
   *
   * @param hasEnded - tells whether a server has ended since a time
   * @param random - source of numbers from 0 to 1, by which the ends of quarantines differ between VMs
   * @returns a new ledger
   */
  static create(hasEnded: ServerEndCheck, random: () => number = Math.random): CrashLedger {
    return new CrashLedger(hasEnded, random);
  }

  /**
   * Records that a connection broke, or that a server was silent, before it had answered a request.
   *
   * @param server - the server
   * @param suspects - what may have crashed it
   * @param nowMs - monotonic time, in milliseconds
   * @param end - how long the server had been answering, in milliseconds, and whether it was silent
   */
  recordUnanswered(
    server: CatalogServer,
    suspects: readonly string[],
    nowMs: number,
    { answeredMs = 0, isSilent = false } = {},
  ): void {
    this.breaks.push({ server, atMs: nowMs, suspects, answeredMs, isSilent });
    if (this.breaks.length > MAX_BREAKS) this.breaks.shift();
    this.breakIndex = undefined;
  }

  /**
   * Records that a server has answered a request, which clears it of all known crashes, and its prompt
   * parts also of those that become known soon.
   *
   * @param parts - its prompt parts that may crash a server
   * @param suspects - returns all that may crash a server; only called while there are crashes
   * @param nowMs - monotonic time, in milliseconds
   */
  recordAnswered(parts: readonly string[], suspects: () => readonly string[], nowMs: number): void {
    parts.forEach((part) => {
      this.soundParts.delete(part);
      this.soundParts.set(part, nowMs);
    });
    dropOldest(this.soundParts, MAX_SOUND_PARTS);
    if (this.crashes.size === 0) return;
    const index = this.crashesBySuspect;
    suspects().forEach((suspect) => {
      index.get(suspect)?.forEach(({ cleared }) => {
        cleared.add(suspect);
        this.index = undefined;
      });
    });
  }

  /**
   * Returns why a request must not be sent to a server.
   *
   * @param suspects - returns what may crash a server; only called while there are crashes
   * @param nowMs - monotonic time, in milliseconds
   * @returns the cause, or undefined when the request may be sent
   */
  findCause(suspects: () => readonly string[], nowMs: number): CrashCause | undefined {
    this.update(nowMs);
    if (this.crashes.size === 0) return undefined;
    const own = new Set(suspects());
    // Most parts of a prompt have the same crashes, and so the same list of them.
    const explanations = new Map<readonly Crash[], Explanation>();
    const explain = (crashes: readonly Crash[]) => {
      const explanation = explanations.get(crashes) ?? this.findExplanation(crashes, own);
      explanations.set(crashes, explanation);
      return explanation;
    };
    const causes = [...own].flatMap((suspect) => this.assess(suspect, explain, nowMs));
    const valid = causes.filter(({ remainingMs }) => remainingMs > 0);
    return valid.find(({ isUndecided }) => !isUndecided) ?? valid[0];
  }

  /**
   * Lists crashes for the other VMs, those with common suspects first.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns a limited number of crashes
   */
  reports(nowMs: number): CrashReport[] {
    this.update(nowMs);
    const recurrence = (suspect: string) => this.crashesBySuspect.get(suspect)?.length ?? 0;
    const ranked = [...this.crashes.values()]
      .map(({ id, atMs, suspects, cleared }) => {
        const open = [...suspects].filter((suspect) => !cleared.has(suspect));
        const related = Math.max(0, ...open.map(recurrence));
        return { id, ageMs: nowMs - atMs, open, cleared, related };
      })
      .filter(({ related, ageMs }) => related >= MIN_CRASHES || ageMs <= UNRELATED_REPORT_MS)
      .sort((left, right) => right.related - left.related || left.ageMs - right.ageMs);
    return ranked
      .slice(0, MAX_REPORTED_CRASHES)
      .map(({ id, ageMs, open, cleared }) =>
        limitReport([id, ageMs, rankSuspects(open, recurrence), [...cleared]]),
      );
  }

  /**
   * Merges crashes that other VMs have reported.
   *
   * @param reports - untrusted reports
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReported(reports: readonly CrashReport[], nowMs: number): void {
    reports.slice(0, MAX_REPORTED_CRASHES).forEach((report) => {
      const [id, ageMs, suspects, cleared] = limitReport(report);
      if (ageMs > CRASH_EXPIRY_MS) return;
      const crash = this.findOrCreate(id, nowMs - Math.max(0, ageMs));
      const known = crash.suspects.size + crash.cleared.size;
      addLimited(crash.suspects, suspects);
      addLimited(crash.cleared, cleared);
      if (crash.suspects.size + crash.cleared.size > known) this.index = undefined;
    });
  }

  /**
   * Lists prompt parts that servers have answered for the other VMs, of those that are cleared of crashes. Their
   * number is limited; each list has others.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the parts; those that only other VMs have reported are not among them
   */
  soundReports(nowMs: number): SoundReport[] {
    if (this.crashes.size === 0) return [];
    const cleared = new Set([...this.crashes.values()].flatMap((crash) => [...crash.cleared]));
    const sound = [...cleared].flatMap((part): SoundReport[] => {
      const soundMs = this.soundParts.get(part);
      return soundMs === undefined ? [] : [[part, Math.round(nowMs - soundMs)]];
    });
    return limitSoundReports(sound);
  }

  /**
   * Clears prompt parts that servers have answered on other VMs of the crashes before, and of those soon after.
   *
   * @param reports - untrusted reports
   * @param nowMs - monotonic time, in milliseconds
   */
  recordReportedSound(reports: readonly SoundReport[], nowMs: number): void {
    reports.slice(0, MAX_REPORTED_SOUND).forEach(([part, ageMs]) => {
      this.crashesBySuspect.get(part)?.forEach(({ atMs, cleared }) => {
        if (atMs - (nowMs - ageMs) > SOUND_EXPIRY_MS) return;
        cleared.add(part);
        this.index = undefined;
      });
    });
  }

  private get crashesBySuspect(): ReadonlyMap<string, readonly Crash[]> {
    this.index ??= shareEqualLists(
      indexBySuspect(this.crashes.values(), ({ suspects, cleared }) =>
        [...suspects].filter((suspect) => !cleared.has(suspect)),
      ),
    );
    return this.index;
  }

  private get breaksBySuspect(): ReadonlyMap<string, readonly Break[]> {
    this.breakIndex ??= indexBySuspect(this.breaks, ({ suspects, isSilent }) =>
      isSilent ? [] : suspects,
    );
    return this.breakIndex;
  }

  private assess(
    suspect: string,
    explain: (crashes: readonly Crash[]) => Explanation,
    nowMs: number,
  ): CrashCause[] {
    const confirmed = this.crashesBySuspect.get(suspect) ?? [];
    if (confirmed.length === 0) return [];
    // After one crash, a break counts before it is confirmed: the next send would come sooner.
    const pending = this.breaksBySuspect.get(suspect) ?? [];
    const servers = new Set(pending.map(({ server }) => server.id));
    const crashes = confirmed.length + servers.size;
    const minCrashes = isPromptPart(suspect) ? MIN_PART_CRASHES : MIN_CRASHES;
    if (crashes < minCrashes) return [];
    const explanation = isPromptPart(suspect) ? explain(confirmed) : 'none';
    if (explanation === 'better') return [];
    const newestMs = Math.max(...[...confirmed, ...pending].map(({ atMs }) => atMs));
    const lengthMs = INITIAL_QUARANTINE_MS * QUARANTINE_FACTOR ** (crashes - minCrashes);
    const remainingMs = newestMs + this.jitter * Math.min(MAX_QUARANTINE_MS, lengthMs) - nowMs;
    // The outcome of a trial that broke off is not known yet.
    const isUndecided = explanation === 'equal' && pending.length === 0;
    const group = confirmed.map(({ id }) => id).sort()[0]!;
    return [{ suspect, crashes, remainingMs, group, isUndecided }];
  }

  /**
   * Finds whether something that the request does not contain explains the same crashes: of the parts that a
   * prompt shares with those that crash servers, most are sound. After few crashes, an explanation as good as
   * this one excuses it.
   */
  private findExplanation(crashes: readonly Crash[], own: ReadonlySet<string>): Explanation {
    const candidates = [...(crashes[0]?.suspects ?? [])].filter((other) => !own.has(other));
    const lists = new Set(candidates.map((other) => this.crashesBySuspect.get(other) ?? []));
    const explanations = [...lists].filter(
      (explained) =>
        explained.length >= crashes.length && crashes.every((crash) => explained.includes(crash)),
    );
    if (explanations.length === 0) return 'none';
    const hasMore = explanations.some((explained) => explained.length > crashes.length);
    return hasMore || crashes.length < CERTAIN_CRASHES ? 'better' : 'equal';
  }

  /** Turns breaks into crashes once the server is seen to be gone, and drops what is too old. */
  private update(nowMs: number): void {
    if (this.breaks.length > 0) {
      const ended = new Set(
        this.breaks.filter(({ server, atMs, isSilent }) => this.hasEnded(server, atMs, isSilent)),
      );
      // Limits drop the last suspects, so the most likely ones come first.
      const ranked = [...ended].sort((left, right) => left.answeredMs - right.answeredMs);
      ranked.forEach(({ server, atMs, suspects }) => {
        const crash = this.findOrCreate(`${server.id}/${server.startedAtMs}`, atMs);
        addLimited(crash.suspects, suspects);
        this.clearSound(crash, nowMs);
        this.index = undefined;
      });
      const open = this.breaks.filter(
        (each) => !ended.has(each) && nowMs - each.atMs <= CONFIRMATION_MS,
      );
      if (open.length < this.breaks.length) this.breakIndex = undefined;
      this.breaks = open;
    }
    this.crashes.forEach(({ id, atMs }) => {
      if (nowMs - atMs <= CRASH_EXPIRY_MS && this.crashes.size <= MAX_CRASHES) return;
      this.crashes.delete(id);
      this.index = undefined;
    });
  }

  /** Clears the parts that servers have answered shortly before: what crashes servers crashes each one. */
  private clearSound({ suspects, cleared }: Crash, nowMs: number): void {
    suspects.forEach((suspect) => {
      const soundMs = this.soundParts.get(suspect);
      if (soundMs !== undefined && nowMs - soundMs <= SOUND_EXPIRY_MS) cleared.add(suspect);
    });
  }

  private findOrCreate(id: string, atMs: number): Crash {
    const known = this.crashes.get(id);
    if (known) return known;
    const crash = { id, atMs, suspects: new Set<string>(), cleared: new Set<string>() };
    this.crashes.set(id, crash);
    return crash;
  }
}

function addLimited(suspects: Set<string>, added: readonly string[]): void {
  added.forEach((suspect) => {
    if (suspects.size < MAX_SUSPECTS) suspects.add(suspect);
  });
}

function dropOldest(entries: Map<string, number>, maxEntries: number): void {
  while (entries.size > maxEntries) {
    const [oldest] = entries.keys();
    entries.delete(oldest!);
  }
}
