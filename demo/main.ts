import { startFleet } from '../harness/fleet.js';
import { planSmallFleet } from '../harness/plans.js';
import { killLaunchedProcesses } from '../harness/process-launcher.js';
import { DEMO_STEPS } from './steps.js';

const startMs = performance.now();
const fleet = await startFleet(planSmallFleet());
const startedS = ((performance.now() - startMs) / 1000).toFixed(1);
console.log(`started ${fleet.daemons.length} daemons and the stand-ins in ${startedS} s\n`);
let failed = 0;
try {
  const keys = {
    crew: await fleet.giveKey('oval-crew'),
    school: await fleet.giveKey('school-grounds'),
  };
  for (const step of DEMO_STEPS) {
    const result = await step
      .run(fleet, keys)
      .catch((error: unknown) => ({ passed: false, observed: String(error) }));
    if (!result.passed) failed += 1;
    console.log(`${result.passed ? 'ok  ' : 'FAIL'}  ${step.name}`);
    console.log(`      expected: ${step.expected}`);
    console.log(`      seen:     ${result.observed}`);
  }
} finally {
  await fleet.stop();
  await killLaunchedProcesses();
}
const totalS = ((performance.now() - startMs) / 1000).toFixed(1);
console.log(`\n${DEMO_STEPS.length - failed} of ${DEMO_STEPS.length} steps hold, ${totalS} s`);
process.exit(failed === 0 ? 0 : 1);
