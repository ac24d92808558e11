import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { runPlatformSoak } from './platform-soak/run.js';

const { seed, seconds, vms, runs, storeFaults } = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'seed of the first run' })
  .option('runs', {
    type: 'number',
    default: 1,
    describe: 'number of runs; each uses the next seed',
  })
  .option('seconds', { type: 'number', default: 20, describe: 'length of the fault schedule' })
  .option('vms', { type: 'number', default: 6, describe: 'number of router processes' })
  .option('store-faults', {
    type: 'boolean',
    default: false,
    describe: 'faults of the store, and of half of the VMs at once',
  })
  .strict()
  .parseAsync();

let failed = 0;
for (let run = 0; run < runs; run += 1) {
  const report = await runPlatformSoak({ seed: seed + run, seconds, vms, storeFaults });
  const { violations, faults, requests, served, folder } = report;
  console.log(`seed ${seed + run}: ${faults} faults, ${served} of ${requests} served, ${folder}`);
  violations.slice(0, 10).forEach((violation) => console.log(`  broken: ${violation}`));
  if (violations.length > 0) failed += 1;
}
console.log(`${runs - failed} runs kept all promises, ${failed} did not`);
process.exit(failed > 0 ? 1 : 0);
