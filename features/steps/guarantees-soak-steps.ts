import assert from 'node:assert/strict';

import { Then, When, World, world } from '@cucumber/cucumber';

import { formatReport, hasViolations } from '../../bench/soak/report.js';
import { runSoak, type SoakReport } from '../../bench/soak/run.js';

interface SoakWorld extends World {
  soakReport: SoakReport;
}

const scenario = world as unknown as SoakWorld;

/** Startup, fault schedule and settling take about 45 s on a busy machine. */
const RUN_TIMEOUT_MS = 90_000;

When(
  'a soak run of {int} s is made with the seed {int}',
  { timeout: RUN_TIMEOUT_MS },
  async (seconds: number, seed: number) => {
    scenario.soakReport = await runSoak({ seed, seconds });
    scenario.log(formatReport(scenario.soakReport));
  },
);

Then('the soak run breaks no invariant and had traffic of each kind', () => {
  const { soakReport } = scenario;
  assert.ok(!hasViolations(soakReport), formatReport(soakReport));
  const { completions, answers, ordersAnswered } = soakReport.journal;
  assert.ok(completions.some(({ answer }) => answer?.complete));
  assert.ok(completions.some(({ cancelled }) => cancelled));
  assert.ok(answers.some(({ status }) => status === 200));
  assert.ok(ordersAnswered > 0);
});
