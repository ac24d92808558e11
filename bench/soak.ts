import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { killLaunchedProcesses } from '../harness/process-launcher.js';
import { closeRelays } from '../harness/tcp-relay.js';
import { formatReport, hasViolations } from './soak/report.js';
import { runSoak } from './soak/run.js';

const { seed, seconds } = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'seed of the schedule and the traffic' })
  .option('seconds', { type: 'number', default: 30, describe: 'length of the fault schedule' })
  .strict()
  .parseAsync();

console.log(`soak run with --seed ${seed} --seconds ${seconds}`);
let broken = true;
try {
  const report = await runSoak({ seed, seconds });
  console.log(formatReport(report));
  broken = hasViolations(report);
} finally {
  await closeRelays();
  await killLaunchedProcesses();
}
console.log(broken ? `broken with seed ${seed}` : `all invariants hold with seed ${seed}`);
process.exit(broken ? 1 : 0);
