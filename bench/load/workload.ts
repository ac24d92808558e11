import type { Pool } from './pool.js';
import { RandomSource } from './random-source.js';
import { computeCapacity, type Demand } from './upper-bound.js';

/** A team of a workload. */
export interface LoadTeam {
  readonly name: string;
  /** Share of the load within the rates; the shares of all teams add up to 1. */
  readonly share: number;
  /** Tokens that it sends, as a multiple of its rate. */
  readonly demandFactor: number;
  /** Tokens per second. */
  readonly rate: number;
  /** Tokens. */
  readonly burst: number;
  readonly weight: number;
}

/** A request of a workload, with its arrival time. */
export interface Arrival extends Demand {
  readonly id: number;
  readonly team: string;
  readonly atMs: number;
  readonly prefix: string | undefined;
  /** Time after the arrival at which the caller closes the connection; undefined for never. */
  readonly cancelAfterMs: number | undefined;
}

/** Parameters of a workload. */
export interface WorkloadPlan {
  readonly seed: number;
  /** Load within the teams' rates, as a share of the pool's capacity. */
  readonly load: number;
  readonly durationMs: number;
  readonly pool: Pool;
}

/** Requests to send, and the teams that send them. */
export interface Workload {
  readonly teams: readonly LoadTeam[];
  readonly arrivals: readonly Arrival[];
  /** Requests per second that the pool can serve. */
  readonly capacity: number;
}

const TEAM_SHARES = [0.36, 0.3, 0.16, 0.11, 0.07];
// Every team stays within its rate except the fourth, which sends five times its rate.
const WITHIN_RATE_FACTOR = 0.9;
const EXCEEDING_TEAM_INDEX = 3;
const EXCEEDING_FACTOR = 5;
const MIN_PROMPT_TOKENS = 30;
const MAX_PROMPT_TOKENS = 20_000;
const PROMPT_MEDIAN_TOKENS = 900;
const PROMPT_SIGMA = 1.1;
const MIN_OUTPUT_TOKENS = 8;
const MAX_OUTPUT_TOKENS = 270;
const OUTPUT_MEDIAN_TOKENS = 75;
const OUTPUT_SIGMA = 0.5;
const PREFIXES_PER_TEAM = 3;
const CANCEL_PROBABILITY = 0.02;
const BURST_INTERVAL_MS = 5000;
const BURST_MS = 500;
const BURST_FACTOR = 2;
const SAMPLE_SIZE = 20_000;

/**
 * Generates open-loop arrivals: a Poisson process for each team, with periodic bursts.
 *
 * @param plan - seed, load, duration and pool
 * @returns teams, arrivals ordered by time, and the pool's capacity
 */
export function generateWorkload(plan: WorkloadPlan): Workload {
  const sampler = RandomSource.create(plan.seed);
  const sample = Array.from({ length: SAMPLE_SIZE }, () => drawDemand(sampler, plan.pool));
  const capacity = computeCapacity(sample, plan.pool).requestsPerSecond;
  const meanTokens = mean(
    sample.map(({ promptTokens, outputTokens }) => promptTokens + outputTokens),
  );
  const teams = TEAM_SHARES.map((share, index) =>
    createTeam(share, index, plan, capacity * meanTokens),
  );
  const arrivals = teams.flatMap((team, index) => {
    const random = RandomSource.create(plan.seed * 100 + index + 1);
    return generateTeam(team, random, plan, (team.rate * team.demandFactor) / meanTokens);
  });
  const ordered = arrivals.sort((one, other) => one.atMs - other.atMs);
  return { teams, arrivals: ordered.map((arrival, id) => ({ ...arrival, id })), capacity };
}

function createTeam(
  share: number,
  index: number,
  plan: WorkloadPlan,
  tokensPerSecond: number,
): LoadTeam {
  const demandFactor = index === EXCEEDING_TEAM_INDEX ? EXCEEDING_FACTOR : WITHIN_RATE_FACTOR;
  const rate = (share * plan.load * tokensPerSecond) / Math.min(1, demandFactor);
  const burst = Math.max(4 * rate, 1.5 * MAX_PROMPT_TOKENS);
  return {
    name: `team-${index + 1}`,
    share,
    demandFactor,
    rate,
    burst,
    weight: share * 10,
  };
}

function generateTeam(
  team: LoadTeam,
  random: RandomSource,
  plan: WorkloadPlan,
  perSecond: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const burstOffsetMs = random.next() * BURST_INTERVAL_MS;
  const meanFactor = 1 + ((BURST_FACTOR - 1) * BURST_MS) / BURST_INTERVAL_MS;
  const peakPerSecond = (perSecond * BURST_FACTOR) / meanFactor;
  for (let atMs = 0; ;) {
    atMs += random.nextIntervalMs(peakPerSecond);
    if (atMs >= plan.durationMs) return arrivals;
    const bursting = (atMs + burstOffsetMs) % BURST_INTERVAL_MS < BURST_MS;
    if (!bursting && random.next() >= 1 / BURST_FACTOR) continue;
    const demand = drawDemand(random, plan.pool);
    const prefix = `${team.name} prefix ${Math.floor(random.next() * PREFIXES_PER_TEAM)} `;
    const cancelAfterMs = random.next() < CANCEL_PROBABILITY ? random.next() * 2000 : undefined;
    const shared = demand.sharedTokens > 0 ? prefix : undefined;
    arrivals.push({ ...demand, id: 0, team: team.name, atMs, prefix: shared, cancelAfterMs });
  }
}

function drawDemand(random: RandomSource, pool: Pool): Demand {
  const prompt = random.nextLogNormal(PROMPT_MEDIAN_TOKENS, PROMPT_SIGMA);
  const output = random.nextLogNormal(OUTPUT_MEDIAN_TOKENS, OUTPUT_SIGMA);
  const promptTokens = Math.round(Math.min(MAX_PROMPT_TOKENS, Math.max(MIN_PROMPT_TOKENS, prompt)));
  const sharesPrefix = random.next() < 0.5 && promptTokens > pool.blockTokens;
  return {
    promptTokens,
    sharedTokens: sharesPrefix ? pool.blockTokens : 0,
    outputTokens: Math.round(Math.min(MAX_OUTPUT_TOKENS, Math.max(MIN_OUTPUT_TOKENS, output))),
  };
}

/**
 * Generates the prompt text of an arrival.
 *
 * @param arrival - the arrival
 * @param seed - seed of the workload; different seeds give different prompts
 * @returns text of `promptTokens` tokens of 4 bytes each
 */
export function writePrompt(arrival: Arrival, seed: number): string {
  const shared = repeat(arrival.prefix ?? '', arrival.sharedTokens * 4);
  return shared + repeat(`${seed} ${arrival.id} `, arrival.promptTokens * 4 - shared.length);
}

function repeat(text: string, length: number): string {
  return text.repeat(Math.ceil(length / Math.max(1, text.length))).slice(0, length);
}

/**
 * Computes a mean.
 *
 * @param values - the values
 * @returns their mean; 0 when there are no values
 */
export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
