import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of events of a soak run. */
export const EVENT_KINDS = [
  'kill-daemon',
  'freeze-daemon',
  'separate-daemons',
  'cut-from-log',
  'restart-engine',
  'log-outage',
  'log-lost-answers',
  'switch-preset',
  'withdraw-key',
] as const;

/** One scheduled event of a soak run. */
export interface SoakEvent {
  readonly atMs: number;
  readonly kind: (typeof EVENT_KINDS)[number];
  /** Two different numbers that select daemons, engines, presets or teams. */
  readonly first: number;
  readonly second: number;
  /** Duration of the fault, in milliseconds. */
  readonly durationMs: number;
}

/** Seeded source of random numbers. */
export interface Random {
  /** Draws an integer of at least `from` and below `to`. */
  readonly integer: (from: number, to: number) => number;
}

const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1300;
const MIN_DURATION_MS = 1000;
const MAX_DURATION_MS = 6000;
const TARGET_COUNT = 4;

/**
 * Creates a source of random numbers.
 *
 * @param seed - equal seeds give equal numbers
 * @returns a new source
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const integer = (from: number, to: number) =>
    from + Math.floor(uniformFloat64(generator) * (to - from));
  return { integer };
}

/**
 * Generates a schedule.
 *
 * @param seed - equal seeds give equal schedules
 * @param lengthMs - time before which every event starts, in milliseconds
 * @returns events ordered by time
 */
export function createSchedule(seed: number, lengthMs: number): SoakEvent[] {
  const random = createRandom(seed);
  const events: SoakEvent[] = [];
  const step = () => random.integer(MIN_GAP_MS, MAX_GAP_MS);
  for (let atMs = step(); atMs < lengthMs; atMs += step()) {
    const kind = EVENT_KINDS[random.integer(0, EVENT_KINDS.length)] ?? 'switch-preset';
    const first = random.integer(0, TARGET_COUNT);
    const second = (first + random.integer(1, TARGET_COUNT)) % TARGET_COUNT;
    events.push({
      atMs,
      kind,
      first,
      second,
      durationMs: random.integer(MIN_DURATION_MS, MAX_DURATION_MS),
    });
  }
  return events;
}
