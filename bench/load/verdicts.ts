import type { Measures } from './measures.js';

/** A bound of design section 1.2 and whether a run meets it. */
export interface Verdict {
  readonly name: string;
  readonly value: string;
  readonly passed: boolean;
}

const NEAR_FULL_LOAD = 0.9;
const FULL_LOAD = 1;

/**
 * Checks a run against the bounds that apply at its load: goodput near full load and above, wasted
 * prefill always, the worst-served team and wrongful refusals while the sum of the rates fits the pool.
 *
 * @param load - load within the rates, as a share of the pool's capacity
 * @param measures - measures of the run
 * @returns the verdicts
 */
export function judgeRun(load: number, measures: Measures): readonly Verdict[] {
  const goodput = {
    name: 'goodput at least 90% of the bound',
    value: formatShare(measures.goodputShare),
    passed: measures.goodputShare >= 0.9,
  };
  const wasted = {
    name: 'wasted prefill under 1%',
    value: formatShare(measures.wastedShare),
    passed: measures.wastedShare < 0.01,
  };
  const worst = {
    name: 'worst-served team at least 95%',
    value: formatShare(measures.worstServed),
    passed: measures.worstServed >= 0.95,
  };
  const wrongful = {
    name: 'wrongful refusals 0',
    value: String(measures.wrongful),
    passed: measures.wrongful === 0,
  };
  return [
    ...(load >= NEAR_FULL_LOAD ? [goodput] : []),
    wasted,
    ...(load <= FULL_LOAD ? [worst, wrongful] : []),
  ];
}

/**
 * Formats a share as a percentage.
 *
 * @param share - the share, where 1 is 100%
 * @returns percentage with one decimal
 */
export function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
