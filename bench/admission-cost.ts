import { performance } from 'node:perf_hooks';

import { createMember, registerFake } from '../harness/module-fakes.js';
import type { Grant } from '../src/admission/grant.js';
import { SharedAdmission } from '../src/admission/shared-admission.js';
import { HomeAssignment } from '../src/admission/home-assignment.js';
import type { Team } from '../src/domain/team.js';
import { Channel } from '../src/kernel/channel.js';
import { Kernel } from '../src/kernel/kernel.js';
import type { Services } from '../src/kernel/service.js';
import { SystemClock } from '../src/kernel/system-clock.js';
import type { Member, MemberEpoch } from '../src/membership/membership.js';
import { collectGarbage } from './collect-garbage.js';
import { fitSlope } from './slope.js';

const TEAM_COUNTS = [5, 500, 5000, 37_000];
const MEMBER_COUNTS = [8, 64, 200, 390];
const TEAMS_IN_USE = 200;
const ADMISSIONS = 6000;
const WARM_UP_ADMISSIONS = 1000;
const MEMORY_TEAMS = 5000;

interface Row {
  readonly varied: 'teams' | 'members';
  readonly debit: 'own' | 'peer';
  readonly teams: number;
  readonly members: number;
  /** Number of teams that send requests. */
  readonly inUse: number;
  readonly microseconds: number;
  readonly bytes: number;
}

interface Setup {
  readonly admission: SharedAdmission;
  readonly teams: readonly string[];
}

function createMembers(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) =>
    createMember(
      `vm-${index}`,
      { availabilityZone: `zone-${index % 7}` },
      { host: '127.0.0.1', port: index + 1 },
    ),
  );
}

/**
 * Chooses teams whose debits all stay on this VM, or all go to a peer. `createSetup` configures the
 * skipped names too, as teams without requests.
 */
function chooseTeams(epoch: MemberEpoch, count: number, own: boolean): readonly string[] {
  const assignment = HomeAssignment.create(2);
  const chosen: string[] = [];
  for (let index = 0; chosen.length < count; index += 1) {
    const team = `team-${index}`;
    const home = assignment.homes(team, epoch).some((member) => member.vm === 'vm-0');
    if (home === own) chosen.push(team);
  }
  return chosen;
}

function createKernel(epoch: MemberEpoch, teams: ReadonlyMap<string, Team>): Kernel {
  const kernel = Kernel.create();
  const register = (name: keyof Services, fake: object) => registerFake(kernel, name, fake);
  const preset = { name: 'ordinary', rateFactor: 1, queueMs: 1000, firstTokenMs: 330 };
  const state = { teams, presets: new Map([['ordinary', preset]]), presetInForce: 'ordinary' };
  const emptyStream = () => Channel.create<never>().stream();
  register('membership', {
    self: () => epoch.members[0],
    joined: () => true,
    current: () => epoch,
    history: () => [epoch],
    changes: emptyStream,
    reincarnations: emptyStream,
    leaseLive: () => true,
    confirmedEpoch: () => epoch.epoch,
  });
  register('configuration', { current: () => state, changes: emptyStream });
  register('peers', {
    handle: () => undefined,
    client: () => ({
      debit: async ({ tokens }: { tokens: bigint }) => ({ granted: tokens, retryAfterMs: 0 }),
      refund: async () => ({}),
    }),
  });
  register('routing', {
    headroom: () => Infinity,
    decodeSlots: () => 0,
    prefillWaitMs: () => 0,
  });
  register('metrics', { increment: noop, gauge: noop, timing: noop });
  register('decisions', { record: noop });
  return kernel;
}

function noop(): void {}

async function createSetup(
  known: number,
  members: number,
  inUse: number,
  own: boolean,
): Promise<Setup> {
  const epoch = { epoch: 1, members: createMembers(members) };
  const teams = chooseTeams(epoch, inUse, own);
  const names = new Set(teams);
  for (let index = 0; names.size < known; index += 1) names.add(`team-${index}`);
  const configured = new Map<string, Team>();
  names.forEach((name) => configured.set(name, { name, rate: 1e9, burst: 1e9, weight: 1 }));
  const kernel = createKernel(epoch, configured);
  const settings = { rates: { homeCount: 2 } };
  const admission = SharedAdmission.create(kernel, settings, SystemClock.create());
  await admission.start();
  // A newly gained share starts with an empty bucket; wait until it holds enough tokens.
  await new Promise((resolve) => {
    setTimeout(resolve, 350);
  });
  return { admission, teams };
}

async function admit({ admission, teams }: Setup, index: number): Promise<Grant> {
  const outcome = await admission.admit({
    requestId: `request-${index}`,
    team: teams[index % teams.length]!,
    model: 'planner',
    promptTokens: 100,
    maxTokens: 100,
    fingerprint: `fingerprint-${index}`,
    arrivedMs: performance.now(),
    signal: new AbortController().signal,
  });
  if (outcome.kind === 'failed') throw outcome.failure;
  return outcome.value;
}

async function runAdmissions(setup: Setup, count: number): Promise<number> {
  let bytes = 0;
  let before = process.memoryUsage().heapUsed;
  for (let index = 0; index < count; index += 1) {
    const grant = await admit(setup, index);
    grant.sendable();
    grant.settle(150);
    if (index % 100 !== 99) continue;
    const after = process.memoryUsage().heapUsed;
    // A garbage collection in between makes the difference negative; such samples count as 0.
    bytes += Math.max(0, after - before);
    before = after;
  }
  return bytes;
}

async function measure(
  varied: Row['varied'],
  known: number,
  members: number,
  own: boolean,
): Promise<Row> {
  const inUse = Math.min(TEAMS_IN_USE, known);
  const setup = await createSetup(known, members, inUse, own);
  await runAdmissions(setup, WARM_UP_ADMISSIONS);
  collectGarbage();
  const startedMs = performance.now();
  const bytes = await runAdmissions(setup, ADMISSIONS);
  const microseconds = ((performance.now() - startedMs) * 1000) / ADMISSIONS;
  await setup.admission.stop();
  const debit = own ? 'own' : 'peer';
  return { varied, debit, teams: known, members, inUse, microseconds, bytes: bytes / ADMISSIONS };
}

async function measureMemory(): Promise<number> {
  const setup = await createSetup(MEMORY_TEAMS, 8, MEMORY_TEAMS, true);
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  // After a debit that is settled at once, the bucket, the ledger entry and the home list of the team
  // remain.
  await runAdmissions(setup, MEMORY_TEAMS);
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  await setup.admission.stop();
  return (after - before) / MEMORY_TEAMS;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

async function main(): Promise<void> {
  const rows: Row[] = [];
  for (const own of [true, false]) {
    for (const teams of TEAM_COUNTS) rows.push(await measure('teams', teams, 8, own));
    for (const members of MEMBER_COUNTS) rows.push(await measure('members', 500, members, own));
  }
  const slopes = (['own', 'peer'] as const).flatMap((debit) =>
    (['teams', 'members'] as const).map((varied) => {
      const chosen = rows.filter((row) => row.debit === debit && row.varied === varied);
      const { perUnit } = fitSlope(chosen.map((row) => [row[varied], row.microseconds]));
      return { debit, varied, microsecondsPerThousand: round(perUnit * 1000, 3) };
    }),
  );
  const bytesPerTeamInUse = Math.round(await measureMemory());
  const table = rows.map((row) => ({
    ...row,
    microseconds: round(row.microseconds, 1),
    bytes: Math.round(row.bytes),
  }));
  console.table(table);
  console.table(slopes);
  console.log(`memory for a team in use: ${bytesPerTeamInUse} bytes`);
  console.log(JSON.stringify({ rows: table, slopes, bytesPerTeamInUse }));
}

await main();
