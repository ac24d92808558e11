import type { WorkSums } from './work-sums.js';

/** Longest pause of a stream relative to its mean time between events. */
const PAUSE_FACTOR = 2;

/** Mean load of light and of full work, relative to the slots. */
const LIGHT_POSITION = 0.25;
const FULL_POSITION = 0.75;

/** Units from which the time between events is known. */
const MIN_UNITS = 3;

/** Share of the slots that an engine always keeps. */
const MIN_SLOTS_SHARE = 0.25;

/**
 * Computes how many streams an engine can run before their pauses exceed a goal. The time between events
 * is taken to grow linearly with the number of streams.
 *
 * @param work - events of the engine at light and at full load
 * @param slots - announced slots
 * @param goalMs - longest pause between the events of streams, times the events per unit; 0 for no goal
 * @returns number of streams, at least one and at most the announced slots
 */
export function fitSlots(work: WorkSums, slots: number, goalMs: number): number {
  const [lightUnits, lightMs, fullUnits, fullMs] = work;
  if (goalMs === 0 || fullUnits < MIN_UNITS) return slots;
  const allowedMs = goalMs / PAUSE_FACTOR;
  const full = fullMs / fullUnits;
  if (full <= allowedMs) return slots;
  const light = lightUnits < MIN_UNITS ? 0 : lightMs / lightUnits;
  const slope = (full - Math.min(light, full)) / (FULL_POSITION - LIGHT_POSITION);
  const proportional = (FULL_POSITION * allowedMs) / full;
  const interpolated = slope > 0 ? FULL_POSITION - (full - allowedMs) / slope : 0;
  const position = light > 0 ? interpolated : proportional;
  return Math.max(1, Math.floor(slots * Math.max(MIN_SLOTS_SHARE, Math.min(1, position))));
}
