/** API key of the only team. */
export const PLATFORM_KEY = 'k1';

/** Host of all routes. */
export const PLATFORM_HOST = 'plans.example';

/**
 * Builds a configuration in the operator's format.
 *
 * @returns routes to a pool of engines and to a plain service, and one team
 */
export function createPlatformConfiguration() {
  const shared = { host: PLATFORM_HOST, priority: 1, public: false };
  return {
    version: 3,
    routes: [
      {
        ...shared,
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'stream',
        service: 'planner',
        attempts: 1,
        timeoutMs: 5000,
        latencyTargetMs: 900,
        gapGoalMs: 300,
      },
      {
        ...shared,
        name: 'order',
        pathPrefix: '/order/',
        kind: 'unsafe',
        service: 'yard',
        attempts: 1,
        timeoutMs: 1500,
        latencyTargetMs: 200,
      },
    ],
    services: [
      {
        name: 'planner',
        maxConns: 100,
        engine: { slots: 4, kvCapacity: 70_000, handleTtlS: 0.5, restageS: 6, holdMs: 2000 },
      },
      { name: 'yard', maxConns: 100 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {
        name: 'savannah',
        apiKeys: [PLATFORM_KEY],
        ratePerS: 100_000,
        burst: 100_000,
        plainTokens: 200,
      },
    ],
  };
}

/**
 * Builds the settings of one process.
 *
 * @param overrides - fields that the test sets itself
 * @returns settings in the platform's format
 */
export function createPlatformSettings(overrides: Readonly<Record<string, unknown>> = {}) {
  return {
    node: 'front-sando-1',
    ip: '127.0.0.1',
    zone: 'sando',
    region: 'tt-south',
    listen: {
      front: '127.0.0.1:1',
      ready: '127.0.0.1:2',
      control: '127.0.0.1:3',
      directory: '127.0.0.1:4',
    },
    portRange: [7500, 7515],
    seeds: ['127.0.0.1:3'],
    limits: { memoryMb: 200, maxFds: 4100 },
    bounds: {
      graceS: 8,
      ttl_max_s: 5,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      retrySlack: 52,
      quotaOverage: 0.1,
      quotaSlack: 110_000,
      leaseMs: 3000,
    },
    provider: { address: '127.0.0.1:5' },
    ...overrides,
  };
}
