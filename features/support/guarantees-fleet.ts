import { startFleet, type Fleet, type JsonChange } from '../../harness/fleet.js';
import { planChanges, planSmallFleet, type SmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';

/** Options of an engine stand-in by name, without the dashes. */
export type EngineOptions = Readonly<Record<string, number | string>>;

/** What a scenario about guarantees may set. */
export interface GuaranteePlan extends Omit<SmallFleet, 'engineArgs' | 'changes'> {
  readonly engine?: EngineOptions;
  readonly changes?: readonly JsonChange[];
}

/** What the scenarios about guarantees share. */
export interface GuaranteeWorld {
  readonly log: (text: string) => void;
  fleet: Fleet;
  /** Key of the team whose requests have to be answered whole. */
  crewKey: string;
  /** Key of the team whose requests meet the fault. */
  visitorKey: string;
}

/** Team whose requests have to be answered whole. */
export const CREW = 'oval-crew';

/** Team whose requests meet the fault. */
export const VISITORS = 'visitors';

const ENGINE: EngineOptions = {
  ...{ slots: 20, blocks: 200, 'token-ms': 20 },
  // Reservations that expire by themselves would hide a release that is missing.
  'reservation-ms': 60_000,
};

/** Requests wait for a turn and for their first token as long as a scenario takes. */
const PATIENT_PRESET = { name: 'ordinary', queueMs: 30_000, firstTokenMs: 30_000 };

/**
 * Starts a fleet whose teams are not limited by their rates and gives each a key.
 *
 * @param world - the scenario
 * @param plan - sizes and options
 */
export async function startGuaranteeFleet(
  world: GuaranteeWorld,
  plan: GuaranteePlan,
): Promise<void> {
  const { engine = {}, changes = [], ...size } = plan;
  const small = planSmallFleet({
    ...size,
    changes: [...planChanges(), ...createTeams(), ...changes],
  });
  const options = Object.entries({ ...ENGINE, ...engine });
  const args = options.flatMap(([name, value]) => [`--${name}`, String(value)]);
  const servers = small.servers.map((server) => {
    if (server.fields.kind !== 'engine') return server;
    return { ...server, args: ['--role', String(server.fields.role), ...args] };
  });
  const fleet = await startFleet({ ...small, servers });
  const [crew, visitor] = [await fleet.giveKey(CREW), await fleet.giveKey(VISITORS)];
  await waitForKeys(fleet);
  Object.assign(world, { fleet, crewKey: crew.text, visitorKey: visitor.text });
}

/** Waits until every daemon has folded what the first one accepted. */
async function waitForKeys(fleet: Fleet): Promise<void> {
  await waitFor('the keys to be known at every daemon', async () => {
    const shown = await Promise.all(
      fleet.daemons.map((daemon) => fleet.operator(daemon).calls.showConfiguration({})),
    );
    return new Set(shown.map(({ version }) => version)).size === 1;
  });
}

function createTeams(): JsonChange[] {
  const rates = { rate: 1_000_000, burst: 1_000_000 };
  return [
    { kind: 'put-team', team: { name: CREW, ...rates } },
    { kind: 'put-team', team: { name: VISITORS, ...rates } },
    { kind: 'put-preset', preset: PATIENT_PRESET },
  ];
}
