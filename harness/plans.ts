import type { FleetPlan, JsonChange, ServerPlan } from './fleet.js';

/** Model that small fleets serve. */
export const MODEL = 'draft-marking-plans';

/** Configuration fields of the engines of small fleets. */
const ENGINE_FIELDS = { kind: 'engine', models: [MODEL], decodeSlots: 20, kvBlocks: 200 };

/** Command line options of the engines of small fleets; the token time is short for fast tests. */
const ENGINE_ARGS = ['--slots', '20', '--blocks', '200', '--token-ms', '5'];

/** Size and options of a small fleet. */
export interface SmallFleet {
  readonly daemons?: number;
  readonly prefills?: number;
  readonly decodes?: number;
  readonly services?: number;
  readonly changes?: readonly JsonChange[];
  readonly engineArgs?: readonly string[];
  readonly serviceArgs?: readonly string[];
  readonly logArgs?: readonly string[];
  readonly settings?: JsonChange;
  /** Whether peers, log and servers are reached through relays that can be cut. */
  readonly relayed?: boolean;
  /** Whether the relays record the bytes that they forward. */
  readonly recorded?: boolean;
}

/**
 * Plans a fleet in three zones with two teams, one model, and a pool of yard servers.
 *
 * @param size - number of daemons and servers, and overrides of the defaults
 * @returns a plan
 */
export function planSmallFleet(size: SmallFleet = {}): FleetPlan {
  const { daemons = 3, prefills = 1, decodes = 2, services = 2 } = size;
  const zones = ['sando', 'couva', 'penal'];
  const engine = (role: string) => (index: number) => ({
    name: `${role}-${index + 1}`,
    availabilityZone: zones[index % zones.length] ?? '',
    args: ['--role', role, ...ENGINE_ARGS, ...(size.engineArgs ?? [])],
    fields: { ...ENGINE_FIELDS, role },
  });
  const service = (index: number): ServerPlan => ({
    name: `yard-${index + 1}`,
    availabilityZone: zones[index % zones.length] ?? '',
    args: size.serviceArgs ?? [],
    fields: { kind: 'service', pool: 'yard' },
  });
  return {
    ...{ region: 'tt-south', zones, daemons, logArgs: size.logArgs ?? [] },
    ...{ settings: size.settings ?? {}, relayed: size.relayed ?? false },
    recorded: size.recorded ?? false,
    servers: [
      ...times(prefills, engine('prefill')),
      ...times(decodes, engine('decode')),
      ...times(services, service),
    ],
    changes: size.changes ?? planChanges(),
  };
}

/**
 * Lists the teams, the model and the routes of a small fleet.
 *
 * @returns the configuration changes
 */
export function planChanges(): JsonChange[] {
  const route = (path: string, fields: JsonChange) => ({
    kind: 'put-route',
    route: { path, pool: 'yard', ...fields },
  });
  return [
    { kind: 'put-model', model: { name: MODEL } },
    { kind: 'put-team', team: { name: 'oval-crew', rate: 20_000, burst: 60_000, weight: 2 } },
    { kind: 'put-team', team: { name: 'school-grounds', rate: 500, burst: 2000 } },
    route('/services/yard/orders', { methods: ['POST'], repeatable: false }),
    route('/services/yard/jobs', { methods: ['GET'], repeatable: true }),
    route('/services/yard/status', { methods: ['GET'], repeatable: true, open: true }),
  ];
}

function times<Item>(count: number, create: (index: number) => Item): Item[] {
  return Array.from({ length: count }, (_, index) => create(index));
}
