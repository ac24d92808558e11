import assert from 'node:assert/strict';

import { Given, Then, world } from '@cucumber/cucumber';

import type { Relay } from '../../src/relay/relay.js';
import type { FakeUpstream } from '../support/fake-upstream.js';

interface EvacuationWorld {
  relay: Relay;
  upstream: FakeUpstream;
  tookMs: number;
  evacuated: string;
}

const scenario = world as unknown as EvacuationWorld;

/** Puts each server of the relay into a zone of its own, with the name of the server. */
function separateServers(): void {
  const { catalog } = scenario.relay;
  catalog.all.forEach((server) => {
    const { id } = server;
    catalog.apply({ id, server: { ...server, availabilityZone: id } }, 0);
  });
}

function evacuate(zones: readonly string[]): void {
  const records = zones.map((zone) => ({ zone, evacuated: true, era: 0, offset: 1 }));
  scenario.relay.catalog.evacuations.merge({ era: 0, offset: 2, zones: records });
}

Given('the zone of the {string} servers of the relay is evacuated', (stage: string) => {
  separateServers();
  const servers = scenario.relay.catalog.all.filter(
    (server) => stage === 'plain' || server.stage === stage,
  );
  evacuate(servers.map(({ id }) => id));
});

Given("the relay's reserved engine is in a zone that is evacuated while the prompt is read", () => {
  const { relay, upstream } = scenario;
  separateServers();
  const prefill = upstream.prefill.bind(upstream);
  upstream.prefill = async (...call) => {
    const [reserved] = [...relay.loads.ownLoads].find(([, { running }]) => running > 0)!;
    if (!scenario.evacuated) {
      scenario.evacuated = reserved;
      evacuate([reserved]);
    }
    return prefill(...call);
  };
});

Then('the relay has sent nothing to the evacuated engine and released its reservation', () => {
  const { upstream, evacuated } = scenario;
  assert.ok(evacuated);
  assert.ok(upstream.sends.every(({ server }) => server !== evacuated));
  assert.equal(upstream.released.length, 1);
});

Then('the relay has refused it within {int} ms', (ms: number) => {
  assert.ok(scenario.tookMs <= ms, `${scenario.tookMs} ms`);
});
