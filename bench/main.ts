import { mkdir, writeFile } from 'node:fs/promises';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { killLaunchedProcesses } from '../harness/process-launcher.js';
import { DEPLOYMENTS, readDeployment } from './load/deployment.js';
import { drawGoodput } from './load/goodput-plot.js';
import type { Measures } from './load/measures.js';
import { POOL, TARGETS } from './load/pool.js';
import { runLoad } from './load/run-load.js';
import { CAPACITY_FORMULA } from './load/upper-bound.js';
import { formatShare, judgeRun, type Verdict } from './load/verdicts.js';
import { generateWorkload } from './load/workload.js';
import { compareModules } from './modules/main.js';

const LOADS = [0.5, 0.95, 1.3];
const NEAR_FULL_LOAD = 0.95;

interface Row {
  readonly deployment: string;
  readonly preset: string;
  readonly load: number;
  readonly measures: Measures;
  readonly verdicts: readonly Verdict[];
}

const options = await yargs(hideBin(process.argv))
  .options({
    quick: { type: 'boolean', default: false, describe: 'run only one deployment, near full load' },
    modules: {
      type: 'boolean',
      default: false,
      describe: 'compare policies of the decision modules alone, on fakes',
    },
    policy: {
      type: 'string',
      array: true,
      default: [],
      describe: 'names of the policies to compare with --modules',
    },
    seeds: { type: 'number', default: 3, describe: 'number of seeds with --modules' },
    seed: { type: 'number', default: 1, describe: 'seed of the workload' },
    seconds: { type: 'number', default: 20, describe: 'measured time of each run' },
    deployment: { type: 'string', choices: DEPLOYMENTS, describe: 'run only this deployment' },
    load: { type: 'number', array: true, describe: 'loads to run, as shares of the capacity' },
    preset: { type: 'string', array: true, default: ['ordinary'], describe: 'presets to compare' },
  })
  .strict()
  .parseAsync();

if (options.modules) {
  const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);
  const { seconds, policy } = options;
  await compareModules({
    loads: options.load ?? [0.95, 1.3],
    seeds,
    seconds,
    policies: policy as string[],
  });
  process.exit(0);
}

const WARM_UP_MS = 3000;
const measuredMs = options.quick ? 12_000 : options.seconds * 1000;
const loads = options.load ?? (options.quick ? [NEAR_FULL_LOAD] : LOADS);
const names = options.deployment
  ? [options.deployment]
  : DEPLOYMENTS.slice(0, options.quick ? 1 : DEPLOYMENTS.length);

const { capacity } = generateWorkload({ seed: options.seed, load: 1, durationMs: 0, pool: POOL });
console.log(`seed ${options.seed}; pool ${JSON.stringify(POOL)}`);
console.log(`targets ${JSON.stringify(TARGETS)}; capacity ${capacity.toFixed(1)} requests/s`);
console.log(`${CAPACITY_FORMULA}\n`);

const rows: Row[] = [];
for (const name of names) {
  const deployment = await readDeployment(name);
  for (const preset of options.preset) {
    for (const load of loads) {
      const run = { deployment, preset, load, seed: options.seed, warmUpMs: WARM_UP_MS };
      const measures = await runLoad({ ...run, durationMs: WARM_UP_MS + measuredMs });
      const row = { deployment: name, preset, load, measures, verdicts: judgeRun(load, measures) };
      rows.push(row);
      printRow(row);
    }
  }
}
console.table(rows.map(describeRow));
await writeReports();
await killLaunchedProcesses();
process.exit(rows.every(({ verdicts }) => verdicts.every(({ passed }) => passed)) ? 0 : 1);

function printRow({ deployment, preset, load, measures, verdicts }: Row): void {
  const label = `${deployment}, ${preset}, load ${load}`;
  console.log(`${label}: ${JSON.stringify(measures.codes)}`);
  verdicts.forEach(({ name, value, passed }) => {
    console.log(`${passed ? 'PASS' : 'FAIL'} ${label}: ${name} (${value})`);
  });
}

function describeRow({ deployment, preset, load, measures }: Row) {
  return {
    ...{ deployment, preset, load, sent: measures.sent },
    goodput: measures.goodput.toFixed(1),
    bound: measures.bound.toFixed(1),
    'of bound': formatShare(measures.goodputShare),
    wasted: formatShare(measures.wastedShare),
    'worst team': `${measures.worstTeam} ${formatShare(measures.worstServed)}`,
    wrongful: measures.wrongful,
    'first token p95': Math.round(measures.firstTokenP95),
    'gap p95': Math.round(measures.gapP95),
  };
}

async function writeReports(): Promise<void> {
  await mkdir('reports', { recursive: true });
  const report = { seed: options.seed, pool: POOL, targets: TARGETS, capacity, rows };
  await writeFile('reports/bench.json', `${JSON.stringify(report, undefined, 2)}\n`);
  const lines = names.flatMap((name) =>
    options.preset.map((preset) => ({
      name: `${name}, ${preset}`,
      points: rows
        .filter((row) => row.deployment === name && row.preset === preset)
        .map(({ load, measures }) => ({ load, goodput: measures.goodput / capacity })),
    })),
  );
  await writeFile('reports/goodput.svg', drawGoodput(lines));
}
