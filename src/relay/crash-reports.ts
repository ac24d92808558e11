import { shuffle } from '../kernel/shuffle.js';
import { indexBySuspect } from './crash-index.js';

/** Number of crashes from which on a suspect is reported rather than others. */
const RECURRENT_CRASHES = 2;

/** Limits of what is reported to other VMs: a digest must stay small. */
export const MAX_REPORTED_CRASHES = 8;
const MAX_REPORTED_SUSPECTS = 12;
const MAX_RECURRENT_SUSPECTS = 8;
const MAX_REPORTED_CLEARED = 6;
export const MAX_REPORTED_SOUND = 24;

/** A crash as a VM reports it: server with its incarnation, age in milliseconds, suspects, cleared suspects. */
export type CrashReport = [id: string, ageMs: number, suspects: string[], cleared: string[]];

/** A prompt part that servers have answered, and how long ago, in milliseconds. */
export type SoundReport = [part: string, ageMs: number];

/**
 * Merges the crashes that several VMs report.
 *
 * @param lists - reports of the VMs
 * @returns each crash once, with what all VMs know of it
 */
export function mergeCrashReports(lists: readonly (readonly CrashReport[])[]): CrashReport[] {
  const merged = new Map<string, CrashReport>();
  lists.flat().forEach(([id, ageMs, suspects, cleared]) => {
    const [, knownAgeMs, knownSuspects, knownCleared] = merged.get(id) ?? [id, ageMs, [], []];
    const allCleared = new Set([...knownCleared, ...cleared]);
    const all = [...new Set([...knownSuspects, ...suspects])];
    const open = all.filter((suspect) => !allCleared.has(suspect));
    merged.set(id, [id, Math.max(knownAgeMs, ageMs), open, [...allCleared]]);
  });
  const crashes = indexBySuspect(merged.values(), ([, , suspects]) => suspects);
  const recurrence = (suspect: string) => crashes.get(suspect)?.length ?? 0;
  return [...merged.values()]
    .slice(0, MAX_REPORTED_CRASHES)
    .map(([id, ageMs, suspects, cleared]) =>
      limitReport([id, ageMs, rankSuspects(suspects, recurrence), cleared]),
    );
}

/**
 * Adds the time for which reports have been held to their ages.
 *
 * @param reports - prompt parts that servers have answered
 * @param heldMs - time for which the reports have been held, in milliseconds
 * @returns the reports as of now
 */
export function ageSoundReports(reports: readonly SoundReport[], heldMs: number): SoundReport[] {
  return reports.map(([part, ageMs]) => [part, ageMs + heldMs]);
}

/**
 * Merges the prompt parts that servers have answered on several VMs.
 *
 * @param lists - reports of the VMs
 * @returns a limited number of them, each with its last answer
 */
export function mergeSoundReports(lists: readonly (readonly SoundReport[])[]): SoundReport[] {
  const merged = new Map<string, number>();
  lists.flat().forEach(([part, ageMs]) => {
    merged.set(part, Math.min(ageMs, merged.get(part) ?? Infinity));
  });
  return limitSoundReports([...merged]);
}

/**
 * Limits the number of reports; each call chooses others.
 *
 * @param reports - prompt parts that servers have answered
 * @returns as many as fit into a digest
 */
export function limitSoundReports(reports: readonly SoundReport[]): SoundReport[] {
  return reports.length <= MAX_REPORTED_SOUND
    ? [...reports]
    : shuffle(reports).slice(0, MAX_REPORTED_SOUND);
}

/**
 * Orders suspects so that most of the first ones have several crashes. Some have not: a VM may not know yet of which
 * other crashes they are suspects. Each report has others first, so that in time all become known.
 *
 * @param suspects - suspects of one crash
 * @param recurrence - returns the number of crashes of a suspect
 * @returns the same suspects
 */
export function rankSuspects(
  suspects: readonly string[],
  recurrence: (suspect: string) => number,
): string[] {
  const isRecurrent = (suspect: string) => recurrence(suspect) >= RECURRENT_CRASHES;
  const first = shuffle(suspects.filter(isRecurrent)).slice(0, MAX_RECURRENT_SUSPECTS);
  const chosen = new Set(first);
  return [...first, ...shuffle(suspects.filter((suspect) => !chosen.has(suspect)))];
}

/**
 * Limits the size of a report.
 *
 * @param report - report of a crash, its most likely suspects first
 * @returns a report that fits into a digest
 */
export function limitReport([id, ageMs, suspects, cleared]: CrashReport): CrashReport {
  return [
    id,
    Math.round(ageMs),
    suspects.slice(0, MAX_REPORTED_SUSPECTS),
    cleared.slice(-MAX_REPORTED_CLEARED),
  ];
}
