import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { callCompletion } from '../../harness/caller-client.js';
import { readEffects, readEngines } from '../../harness/engine-record.js';
import { startFleet, type Fleet, type FleetDaemon } from '../../harness/fleet.js';
import { MODEL, planSmallFleet } from '../../harness/plans.js';
import { sendWithHeader } from '../support/guarantees-key-requests.js';

const TEAMS = ['oval-crew', 'school-grounds'];

interface TeamSeparationWorld {
  separating?: {
    readonly fleet: Fleet;
    /** Team whose key was used, by the request id of the completion. */
    readonly senders: Map<string, string>;
  };
}

const scenario = world as unknown as TeamSeparationWorld;

function getSeparationState() {
  assert.ok(scenario.separating);
  return scenario.separating;
}

/** Sends requests with the key of one team and headers that claim another team. */
async function sendClaimingOtherTeam(
  daemon: FleetDaemon,
  team: string,
  key: string,
  senders: Map<string, string>,
): Promise<void> {
  const claimed = { 'x-team': TEAMS.find((other) => other !== team) ?? '' };
  const path = `/services/yard/jobs/of-${team}`;
  const call = { model: MODEL, prompt: 'roll the square', maxTokens: 5, key };
  const [answer] = await Promise.all([
    callCompletion(daemon.callers, { ...call, stream: true }),
    sendWithHeader(daemon, path, `Bearer ${key}`, claimed),
  ]);
  senders.set(answer.requestId, team);
}

After(async () => {
  await scenario.separating?.fleet.stop();
});

Given('a team-separating fleet of {int} daemons', async (daemons) => {
  const fleet = await startFleet(planSmallFleet({ daemons: Number(daemons), services: 1 }));
  scenario.separating = { fleet, senders: new Map() };
});

When(
  'team-separating callers of two teams send {int} rounds at once and claim the other team',
  async (rounds: number) => {
    const { fleet, senders } = getSeparationState();
    const keys = new Map<string, string>();
    for (const team of TEAMS) keys.set(team, (await fleet.giveKey(team)).text);
    const requests = Array.from({ length: rounds }, () =>
      fleet.daemons.flatMap((daemon) =>
        [...keys].map(([team, key]) => sendClaimingOtherTeam(daemon, team, key, senders)),
      ),
    );
    await Promise.all(requests.flat());
  },
);

Then('every team-separating attempt and effect ran for the team of its key', async () => {
  const { fleet, senders } = getSeparationState();
  const engines = await readEngines(fleet);
  const attempts = [...engines.values()].flatMap((engine) => engine.attempts);
  const effects = await readEffects(fleet);
  assert.deepEqual(new Set(attempts.map(({ team }) => team)), new Set(TEAMS));
  assert.deepEqual(new Set(effects.map(({ team }) => team)), new Set(TEAMS));
  attempts.forEach(({ requestId, team }) => assert.equal(team, senders.get(requestId)));
  effects.forEach(({ path, team }) => assert.equal(path, `/services/yard/jobs/of-${team}`));
});
