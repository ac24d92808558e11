import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';

import { AdmissionFleet } from '../support/admission-fleet.js';
import { generateLoad, createTeam, REQUEST_TOKENS } from '../support/admission-load.js';
import { readSeed } from '../support/seed.js';

const fleetEventArbitrary = fc.record({
  atMs: fc.nat(1000).map((step) => step * 2),
  kind: fc.constantFrom('fault', 'fault', 'heal', 'heal', 'fold', 'fold', 'join', 'die', 'lapse'),
  fault: fc.constantFrom('refused' as const, 'silent' as const, 'lost-answer' as const),
  who: fc.nat(11),
});

type FleetEvent = typeof fleetEventArbitrary extends fc.Arbitrary<infer Event> ? Event : never;

function applyEvent(fleet: AdmissionFleet, event: FleetEvent): void {
  const vm = fleet.vms[event.who % fleet.vms.length]!;
  if (event.kind === 'fault') vm.fault = event.fault;
  if (event.kind === 'heal') Object.assign(vm, { fault: undefined, lease: true });
  if (event.kind === 'lapse') vm.lease = false;
  if (event.kind === 'fold') fleet.applyLatestEpoch();
  if (event.kind === 'join') void fleet.join(event.atMs + 100);
  if (event.kind === 'die' && fleet.vms.length > 2) void fleet.remove(vm);
}

async function runRandomFleet(events: readonly FleetEvent[], used: number): Promise<number> {
  const teams = [createTeam('team-0', 1000, 1000), createTeam('team-1', 500, 1500)];
  const fleet = await AdmissionFleet.create(5, teams);
  const loads = teams.map(({ name, rate }) => ({ team: name, perSecond: rate * 3 }));
  const onStep = (passed: number) => {
    events.filter((event) => event.atMs === passed).forEach((event) => applyEvent(fleet, event));
  };
  const choose = (index: number) => fleet.vms[index % fleet.vms.length]!;
  await generateLoad(fleet, loads, choose, 2000, { onStep, used });
  teams.forEach((team) => assert.deepEqual(fleet.findExcess(team), []));
  await fleet.stop();
  return fleet.results.filter((result) => result.sendable).length;
}

Then(
  'admission fleets under random faults stay within burst + rate × window in {int} runs',
  { timeout: 60_000 },
  async (runs: number) => {
    const seed = readSeed();
    let admitted = 0;
    const property = fc.asyncProperty(
      fc.array(fleetEventArbitrary, { maxLength: 30, size: 'max' }),
      fc.integer({ min: 1, max: REQUEST_TOKENS }),
      async (events, used) => {
        admitted += await runRandomFleet(events, used);
      },
    );
    await fc.assert(property, { numRuns: runs, seed, endOnFailure: true });
    process.stdout.write(`admission fleets: SEED=${seed}, ${admitted} admitted\n`);
    assert.ok(admitted >= runs * 10, `only ${admitted} requests were admitted`);
  },
);
