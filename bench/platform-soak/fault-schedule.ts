import { createRandom } from '../soak/schedule.js';

/** One scheduled fault. */
export interface ScheduledFault<Kind extends string> {
  readonly atMs: number;
  readonly kind: Kind;
  /** Selects what is hit, modulo the number of possible targets. */
  readonly targetIndex: number;
  readonly durationMs: number;
}

/** Kinds of faults of a schedule, the gaps between their starts and their durations, in milliseconds. */
export interface ScheduleOptions<Kind extends string> {
  readonly kinds: readonly Kind[];
  readonly minGapMs: number;
  readonly maxGapMs: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
}

const TARGET_INDEX_LIMIT = 1000;

/**
 * Generates a schedule of faults, which may overlap.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time before which every fault starts, in milliseconds
 * @param options - kinds, gaps and durations
 * @returns faults ordered by start time
 */
export function createSchedule<Kind extends string>(
  seed: number,
  lengthMs: number,
  { kinds, minGapMs, maxGapMs, minDurationMs, maxDurationMs }: ScheduleOptions<Kind>,
): ScheduledFault<Kind>[] {
  const random = createRandom(seed);
  const faults: ScheduledFault<Kind>[] = [];
  const step = () => random.integer(minGapMs, maxGapMs);
  for (let atMs = step(); atMs < lengthMs; atMs += step()) {
    const kind = kinds[random.integer(0, kinds.length)]!;
    const targetIndex = random.integer(0, TARGET_INDEX_LIMIT);
    const durationMs = random.integer(minDurationMs, maxDurationMs);
    faults.push({ atMs, kind, targetIndex, durationMs });
  }
  return faults;
}
