import { startFleet, type Fleet, type JsonChange } from '../../harness/fleet.js';
import { planChanges, planSmallFleet, type SmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';

/** Command-line options of an engine stand-in by name, without the leading dashes. */
export type EngineOptions = Readonly<Record<string, number | string>>;

/** Fleet options that a guarantee scenario may set. */
export interface GuaranteePlan extends Omit<SmallFleet, 'engineArgs' | 'changes'> {
  readonly engine?: EngineOptions;
  readonly changes?: readonly JsonChange[];
}

/** State shared by the guarantee scenarios. */
export interface GuaranteeWorld {
  readonly log: (text: string) => void;
  fleet: Fleet;
  /** Key of the team whose requests must be answered completely. */
  crewKey: string;
  /** Key of the team whose requests are hit by the fault. */
  visitorKey: string;
}

/** Team whose requests must be answered completely. */
export const CREW_TEAM = 'oval-crew';

/** Team whose requests are hit by the fault. */
export const VISITOR_TEAM = 'visitors';

const ENGINE_DEFAULTS: EngineOptions = {
  ...{ slots: 20, blocks: 200, 'token-ms': 20 },
  // Far longer than a scenario: a reservation that expires on its own would hide a missing release.
  'reservation-ms': 60_000,
};

/** Requests may wait in the queue and for their first token as long as a scenario takes. */
const LONG_TIMEOUT_PRESET = { name: 'ordinary', queueMs: 30_000, firstTokenMs: 30_000 };

/**
 * Starts a fleet in which no team reaches its rate limit, and issues a key to each team.
 *
 * @param world - the scenario
 * @param plan - fleet size and options
 */
export async function startGuaranteeFleet(
  world: GuaranteeWorld,
  plan: GuaranteePlan,
): Promise<void> {
  const { engine = {}, changes = [], ...size } = plan;
  const small = planSmallFleet({
    ...size,
    changes: [...planChanges(), ...createTeamChanges(), ...changes],
  });
  const options = Object.entries({ ...ENGINE_DEFAULTS, ...engine });
  const args = options.flatMap(([name, value]) => [`--${name}`, String(value)]);
  const servers = small.servers.map((server) => {
    if (server.fields.kind !== 'engine') return server;
    return { ...server, args: ['--role', String(server.fields.role), ...args] };
  });
  const fleet = await startFleet({ ...small, servers });
  const [crew, visitor] = [await fleet.giveKey(CREW_TEAM), await fleet.giveKey(VISITOR_TEAM)];
  await waitForEqualVersions(fleet);
  Object.assign(world, { fleet, crewKey: crew.text, visitorKey: visitor.text });
}

/** Waits until every daemon has applied the changes that the first one accepted. */
async function waitForEqualVersions(fleet: Fleet): Promise<void> {
  await waitFor('the same configuration version at every daemon', async () => {
    const shown = await Promise.all(
      fleet.daemons.map((daemon) => fleet.operatorClient(daemon).calls.showConfiguration({})),
    );
    return new Set(shown.map(({ version }) => version)).size === 1;
  });
}

function createTeamChanges(): JsonChange[] {
  const rates = { rate: 1_000_000, burst: 1_000_000 };
  return [
    { kind: 'put-team', team: { name: CREW_TEAM, ...rates } },
    { kind: 'put-team', team: { name: VISITOR_TEAM, ...rates } },
    { kind: 'put-preset', preset: LONG_TIMEOUT_PRESET },
  ];
}
