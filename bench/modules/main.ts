import { mkdir, writeFile } from 'node:fs/promises';

import { summarize, type Measures } from '../load/measures.js';
import { formatShare } from '../load/verdicts.js';
import { runTrial } from './compare.js';
import { POLICIES, type Policy } from './policies.js';

/** Runs of one policy at one load. */
interface PolicyRow {
  readonly policy: string;
  readonly load: number;
  readonly runs: readonly Measures[];
}

/** Parameters of a comparison. */
export interface Comparison {
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
  readonly seconds: number;
  /** Names of the policies to run, or empty for all; the policy `present` always runs. */
  readonly policies: readonly string[];
}

/**
 * Compares policies with the same seeds, prints the figures and writes them to `reports/modules.json`.
 *
 * @param comparison - loads, seeds, run length and policies
 */
export async function compareModules(comparison: Comparison): Promise<void> {
  const { loads, seeds, seconds, policies } = comparison;
  const selectedPolicies = POLICIES.filter(
    ({ name }, index) => index === 0 || policies.length === 0 || policies.includes(name),
  );
  const rows: PolicyRow[] = [];
  for (const load of loads) {
    for (const policy of selectedPolicies) rows.push(await runPolicy(policy, load, seeds, seconds));
    console.log(`load ${load}, seeds ${seeds.join(' ')}, ${seconds} s each, manual clock`);
    const currentRow = rows.find((row) => row.load === load);
    if (currentRow)
      console.table(rows.filter((row) => row.load === load).map(createRowFormatter(currentRow)));
  }
  await mkdir('reports', { recursive: true });
  await writeFile(
    'reports/modules.json',
    `${JSON.stringify({ comparison, rows }, undefined, 2)}\n`,
  );
}

async function runPolicy(
  policy: Policy,
  load: number,
  seeds: readonly number[],
  seconds: number,
): Promise<PolicyRow> {
  const runs: Measures[] = [];
  for (const seed of seeds) runs.push(await runTrial({ policy, load, seed, seconds }));
  return { policy: policy.name, load, runs };
}

/**
 * Creates a function that formats a row; goodput is compared with that of the policy `present` seed by
 * seed.
 */
function createRowFormatter(currentRow: PolicyRow): (row: PolicyRow) => object {
  return ({ policy, runs }) => {
    const ratios = runs.map(
      ({ goodput }, index) => goodput / (currentRow.runs[index]?.goodput ?? 1),
    );
    const average = (measure: (run: Measures) => number) => summarize(runs.map(measure)).mean;
    const { mean, min, max } = summarize(ratios);
    return {
      policy,
      'of bound': formatShare(average(({ goodputShare }) => goodputShare)),
      'goodput ÷ present': `${mean.toFixed(3)} (${min.toFixed(3)}–${max.toFixed(3)})`,
      wasted: formatShare(average(({ wastedShare }) => wastedShare)),
      'worst team': formatShare(average(({ worstServed }) => worstServed)),
      wrongful: average(({ wrongful }) => wrongful).toFixed(1),
      late: average(({ late }) => late).toFixed(1),
      'first token p95': Math.round(average(({ firstTokenP95 }) => firstTokenP95)),
    };
  };
}
