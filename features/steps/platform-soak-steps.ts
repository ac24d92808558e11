import assert from 'node:assert/strict';

import { Then, When, world } from '@cucumber/cucumber';

import { runPlatformSoak, type PlatformSoakReport } from '../../bench/platform-soak/run.js';

const scenario = world as unknown as { platformSoak: PlatformSoakReport };

/** Start-up, schedule, recovery and the traffic after it take 30 s or more on a busy machine. */
const RUN_TIMEOUT_MS = 120_000;

When(
  /^the platform soak runs for (\d+) s with (\d+) VMs(, faults of the store)? and the seed (\d+)$/,
  { timeout: RUN_TIMEOUT_MS },
  async (seconds: string, vms: string, storeFaults: string | null, seed: string) => {
    scenario.platformSoak = await runPlatformSoak({
      ...{ seconds: Number(seconds), vms: Number(vms), seed: Number(seed) },
      storeFaults: Boolean(storeFaults),
    });
  },
);

Then('the platform soak has broken no promise and has served most requests', () => {
  const { violations, faults, requests, served, folder } = scenario.platformSoak;
  assert.deepEqual(violations, [], `logs in ${folder}`);
  assert.ok(faults > 5, `${faults} faults`);
  assert.ok(served > requests / 2, `${served} of ${requests} served`);
});
