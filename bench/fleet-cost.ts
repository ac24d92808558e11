import { FleetSimulation } from '../harness/fleet-simulation.js';

/** Fleet sizes to measure: fleets without hubs, the sizes of the users' sites, and the design size. */
const FLEET_SIZES = [6, 16, 17, 80, 300, 390] as const;

const SERVER_COUNT = 31;
const TEAM_COUNT = 16;
const WARM_UP_MS = 10_000;
const MEASURED_MS = 4000;

/**
 * Measures the digest traffic of a fleet of one size; each VM has load on two servers and knows 16
 * teams.
 */
async function measure(count: number): Promise<void> {
  const simulation = await FleetSimulation.create(count);
  const teams = Array.from({ length: TEAM_COUNT }, (_, index) => ({
    name: `team-${index}`,
    tokensPerSecond: 30_000,
    burstTokens: 30_000,
  }));
  simulation.vms.forEach(({ loads, rateLimiter }, index) => {
    rateLimiter.configure(teams, simulation.clock.monotonicMs());
    [index, index + 7].forEach((server) =>
      loads.add(`i-${1_000_000_000 + (server % SERVER_COUNT)}`, { running: 1, kvTokens: 5200 }),
    );
  });
  await simulation.advance(WARM_UP_MS);
  simulation.vms.forEach((vm) => Object.assign(vm, { bytes: 0 }));
  const cpu = process.cpuUsage();
  await simulation.advance(MEASURED_MS);
  const cpuUsed = process.cpuUsage(cpu);
  const rates = simulation.vms
    .map(({ bytes }) => bytes / MEASURED_MS)
    .sort((left, right) => left - right);
  const median = rates[Math.floor(count / 2)]!;
  const msPerSecond = (cpuUsed.user + cpuUsed.system) / MEASURED_MS / count;
  const row = [count, median.toFixed(1), rates.at(-1)!.toFixed(1), msPerSecond.toFixed(2)];
  console.log(row.join('\t'));
  await Promise.all(simulation.vms.map(({ fleet }) => fleet.stop()));
}

console.log('VMs\tKB/s, median\tKB/s, busiest\tms/s of processor time, mean');
for (const size of FLEET_SIZES) await measure(size);
