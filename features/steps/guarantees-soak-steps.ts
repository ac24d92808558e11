import assert from 'node:assert/strict';

import { Then, When, World } from '@cucumber/cucumber';

import { formatReport, isBroken } from '../../bench/soak/report.js';
import { runSoak, type SoakReport } from '../../bench/soak/run.js';

interface SoakWorld extends World {
  soakReport: SoakReport;
}

/** Start, schedule and settling take about 45 s on a busy machine. */
const RUN_TIMEOUT_MS = 90_000;

When(
  'a soak run of {int} s is made with the seed {int}',
  { timeout: RUN_TIMEOUT_MS },
  async function run(this: SoakWorld, seconds: number, seed: number) {
    this.soakReport = await runSoak({ seed, seconds });
    this.log(formatReport(this.soakReport));
  },
);

Then(
  'the soak run breaks no invariant and had traffic of each kind',
  function check(this: SoakWorld) {
    const { soakReport } = this;
    assert.ok(!isBroken(soakReport), formatReport(soakReport));
    const { completions, answers, ordersAnswered } = soakReport.journal;
    assert.ok(completions.some(({ answer }) => answer?.whole));
    assert.ok(completions.some(({ cancelled }) => cancelled));
    assert.ok(answers.some(({ status }) => status === 200));
    assert.ok(ordersAnswered > 0);
  },
);
