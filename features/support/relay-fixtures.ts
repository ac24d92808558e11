import { UNREAD } from '../../src/domain/store-position.js';
import type { Digest } from '../../src/fleet/digest.js';
import type { RelayConfiguration, RelayRoute } from '../../src/relay/relay-configuration.js';
import type { RelayRequest } from '../../src/relay/relay-request.js';
import type { LimitSharers } from '../../src/relay/server-limits.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';

/**
 * Builds a route.
 *
 * @param overrides - fields relevant to the test
 * @returns a route of kind `idempotent` to the pool `pool`
 */
export function createRelayRoute(overrides: Partial<RelayRoute> = {}): RelayRoute {
  return {
    name: 'route',
    host: 'plans.example',
    pathPrefix: '/',
    kind: 'idempotent',
    resumable: false,
    pools: [{ pool: 'pool', weight: 1 }],
    attempts: 2,
    timeoutMs: 2000,
    targetMs: 300,
    patienceMs: 3600,
    pauseGoalMs: 0,
    priority: 1,
    open: true,
    ...overrides,
  };
}

/**
 * Builds a configuration.
 *
 * @param overrides - fields relevant to the test
 * @returns a configuration with one open route and one plain pool
 */
export function createRelayConfiguration(
  overrides: Partial<RelayConfiguration> = {},
): RelayConfiguration {
  return {
    version: 1,
    routes: [createRelayRoute()],
    pools: [{ name: 'pool', mostConnections: 0, engine: undefined }],
    teams: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 65_536, headersMs: 3000, idleMs: 15_000 },
    ...overrides,
  };
}

/**
 * Builds a catalog entry of a server.
 *
 * @param overrides - fields relevant to the test
 * @returns a plain server of the pool `pool`
 */
export function createCatalogServer(overrides: Partial<CatalogServer> = {}): CatalogServer {
  return {
    id: 'a',
    startedAtMs: 1,
    pool: 'pool',
    address: { host: '127.0.0.1', port: 1 },
    availabilityZone: 'sando',
    slots: 6,
    leaving: false,
    stage: undefined,
    ...overrides,
  };
}

/**
 * Builds the VMs that share the rates of servers, of which the first one is this VM.
 *
 * @param vms - names of the VMs
 * @param overrides - fields relevant to the test
 * @returns VMs that know each other
 */
export function createLimitSharers(
  vms: readonly string[],
  overrides: Partial<LimitSharers> = {},
): LimitSharers {
  const known = { self: vms[0]!, vms, lastingVms: vms };
  return { ...known, settled: true, coldSettled: true, informed: true, ...overrides };
}

/**
 * Builds a digest.
 *
 * @param overrides - fields relevant to the test
 * @returns a digest of an idle VM
 */
export function createDigest(overrides: Partial<Digest> = {}): Digest {
  return {
    kind: 'digest',
    vm: 'b',
    incarnation: '1',
    sequence: 1,
    host: '127.0.0.2',
    callers: '127.0.0.2:80',
    zone: 'sando',
    power: 1,
    ready: true,
    draining: false,
    era: 0,
    evacuations: { ...UNREAD, zones: [] },
    configuration: 1,
    catalog: 1,
    catalogHash: 1,
    hub: '',
    list: 0,
    reachesStore: true,
    punctual: 0,
    waiting: 0,
    startsPerSecond: 0,
    spent: {},
    retries: {},
    costs: {},
    loads: [],
    avoided: [],
    leavers: [],
    crashes: [],
    sound: [],
    limits: [],
    cold: [],
    capacities: [],
    hosts: [],
    ...overrides,
  };
}

/**
 * Builds a caller's request.
 *
 * @param overrides - fields relevant to the test
 * @returns a GET request without a key
 */
export function createRelayRequest(overrides: Partial<RelayRequest> = {}): RelayRequest {
  return {
    requestId: 'r0',
    host: 'plans.example',
    path: '/x',
    method: 'GET',
    target: '/x',
    headers: [],
    body: Buffer.alloc(0),
    key: undefined,
    deadlineAtMs: 10_000,
    arrivedMs: 0,
    promptTokens: undefined,
    outputTokens: 0,
    expectedTokens: undefined,
    promptParts: [],
    ...overrides,
  };
}
