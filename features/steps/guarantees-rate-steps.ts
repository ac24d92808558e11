import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { startFleet, type Fleet, type JsonChange } from '../../harness/fleet.js';
import { planChanges, planSmallFleet } from '../../harness/plans.js';
import { findTightestWindow, type LimitPhase } from '../support/guarantees-bound.js';
import { findHomes } from '../support/guarantees-entry.js';
import { startFlood } from '../support/guarantees-load.js';
import { reportFigure, type Reporter } from '../support/guarantees-report.js';
import { RATE_EVENTS, waitForTokensRun } from '../support/guarantees-rate-events.js';
import { countTokensRun, readTokenRuns } from '../support/guarantees-runs.js';

/** Team whose rate is checked; ten requests per second leave a test machine's processors idle. */
const TEAM = { name: 'boundary-team', rate: 2000, burst: 2000 };

/** Time for which the old limits still apply after a change, in milliseconds. */
const LIMIT_OVERLAP_MS = 4000;

/** Offers about eight times the rate: an answer takes about 0.2 s and costs about 200 tokens. */
const CALLERS = 16;

const ENGINE_ARGS = ['--prefill-tokens-per-second', '200000', '--link-bytes-per-second', '5e8'];

interface RateWorld extends Reporter {
  rated?: {
    readonly fleet: Fleet;
    readonly phases: LimitPhase[];
    /** Tokens run since the start, in percent of those that rate and burst allowed. */
    usedPercent: number;
  };
}

const scenario = world as unknown as RateWorld;

function getRateState() {
  assert.ok(scenario.rated);
  return scenario.rated;
}

After(async () => {
  await scenario.rated?.fleet.stop();
});

Given('a rate-guarded fleet of {int} daemons', async (daemons) => {
  const changes = [...planChanges(), { kind: 'put-team', team: TEAM }];
  const size = { daemons: Number(daemons), engineArgs: ENGINE_ARGS, services: 0, relayed: true };
  const settings = { entryAddresses: { validForMs: 200 } };
  const fleet = await startFleet(planSmallFleet({ ...size, changes, settings }));
  scenario.rated = { fleet, phases: [{ fromMs: 0, ...TEAM }], usedPercent: 0 };
});

When('rate-guarded callers flood the fleet while {string}', async (name: string) => {
  const rated = getRateState();
  const { fleet, phases } = rated;
  const event = RATE_EVENTS.get(name);
  assert.ok(event, `unknown event "${name}"`);
  const { text: key } = await fleet.giveKey(TEAM.name);
  const { homes, others } = await findHomes(fleet, key);
  let targets = [...fleet.daemons];
  const count = () => countTokensRun(fleet, TEAM.name);
  const waitForLoad = async (seconds: number) =>
    waitForTokensRun(count, (await count()) + seconds * (phases.at(-1)?.rate ?? 0));
  const setTargets = (daemons: readonly (typeof targets)[number][]) => {
    targets = [...daemons];
  };
  const changeTeam = async (fields: JsonChange) => {
    const team = { ...TEAM, ...fields };
    await fleet.apply([{ kind: 'put-team', team }]);
    phases.push({ fromMs: Date.now() + LIMIT_OVERLAP_MS, ...team });
  };
  const startMs = Date.now();
  const load = startFlood({ key, callers: CALLERS, targets: () => targets });
  await waitForLoad(1);
  const askHomes = async () => (await findHomes(fleet, key)).homes;
  await event({ fleet, homes, others, askHomes, setTargets, waitForLoad, changeTeam });
  await waitForLoad(1);
  const elapsedS = (Date.now() - startMs) / 1000;
  const ran = await count();
  await load.stop();
  rated.usedPercent = (100 * ran) / (TEAM.burst + TEAM.rate * elapsedS);
  const counts = JSON.stringify(Object.fromEntries(load.counts));
  reportFigure(scenario, `${ran} tokens in ${elapsedS.toFixed(1)} s, answers ${counts}`);
});

Then(
  'the rate-guarded tokens at the engines stay within burst + rate x window in every window',
  async () => {
    const { fleet, phases } = getRateState();
    const runs = await readTokenRuns(fleet, TEAM.name);
    const { tokens, allowed, windowMs, ratio } = findTightestWindow(runs, phases);
    const bound = `${tokens} of ${Math.floor(allowed)} tokens in ${windowMs} ms`;
    reportFigure(
      scenario,
      `${runs.length} attempts; tightest window: ${bound} (${(100 * ratio).toFixed(1)}%)`,
    );
    assert.ok(ratio <= 1, bound);
  },
);

Then(
  'the rate-guarded load used at least {int} percent of what was allowed',
  (minPercent: number) => {
    const { usedPercent } = getRateState();
    reportFigure(scenario, `used ${usedPercent.toFixed(1)}% of what was allowed`);
    // Without this check a fleet that runs nothing would pass.
    assert.ok(usedPercent >= minPercent, `used ${usedPercent.toFixed(1)}% of what was allowed`);
  },
);
