import { readFile } from 'node:fs/promises';

import { z } from 'zod';

import type { FleetPlan, JsonChange, ServerPlan } from '../../harness/fleet.js';
import type { Pool } from './pool.js';
import type { LoadTeam } from './workload.js';

const changeSchema = z.looseObject({
  kind: z.string(),
  model: z.looseObject({ name: z.string() }).optional(),
  server: z
    .looseObject({ name: z.string(), availabilityZone: z.string(), kind: z.string() })
    .optional(),
});

type Change = z.infer<typeof changeSchema>;

/** An example deployment from `examples/`. */
export interface Deployment {
  readonly name: string;
  readonly model: string;
  readonly changes: readonly Change[];
}

/** Names of the example deployments. */
export const DEPLOYMENTS = ['savannah-stripe', 'nicovale'] as const;

const DAEMON_COUNT = 6;

/**
 * Reads the configuration of a deployment.
 *
 * @param name - name of its directory in `examples/`
 * @returns the deployment
 */
export async function readDeployment(name: string): Promise<Deployment> {
  const text = await readFile(`examples/${name}/configuration.json`, 'utf8');
  const changes = z.array(changeSchema).parse(JSON.parse(text));
  const model = changes.find(({ kind }) => kind === 'put-model')?.model?.name ?? '';
  return { name, model, changes };
}

/**
 * Plans a fleet with the servers and presets of a deployment, and the teams of a workload.
 *
 * @param deployment - the deployment
 * @param pool - speeds and sizes of the model servers
 * @param teams - teams of the workload
 * @param preset - name of the preset to switch to
 * @returns a fleet plan with six daemons
 */
export function planFleet(
  deployment: Deployment,
  pool: Pool,
  teams: readonly LoadTeam[],
  preset: string,
): FleetPlan {
  const servers = deployment.changes.flatMap(({ server }) =>
    server ? [planServer(server, pool)] : [],
  );
  const otherChanges = deployment.changes.filter(
    ({ kind }) => kind !== 'put-server' && kind !== 'put-team',
  );
  const teamChanges = teams.map(({ name, rate, burst, weight }) => ({
    kind: 'put-team',
    team: { name, rate, burst, weight },
  }));
  const presetChanges = preset === 'ordinary' ? [] : [{ kind: 'switch-preset', name: preset }];
  const zones = [...new Set(servers.map(({ availabilityZone }) => availabilityZone))];
  return {
    ...{ region: deployment.name, zones, daemons: DAEMON_COUNT, servers },
    changes: [...otherChanges, ...teamChanges, ...presetChanges],
  };
}

function planServer(server: NonNullable<Change['server']>, pool: Pool): ServerPlan {
  const { name, availabilityZone, address, ...fields } = server;
  if (fields.kind !== 'engine') return { name, availabilityZone, fields };
  const sizes = { decodeSlots: pool.slots, kvBlocks: pool.kvBlocks };
  return {
    ...{ name, availabilityZone },
    args: ['--role', String(fields.role), ...listEngineOptions(pool)],
    fields: { ...fields, ...sizes } satisfies JsonChange,
  };
}

function listEngineOptions(pool: Pool): string[] {
  const options = {
    slots: pool.slots,
    blocks: pool.kvBlocks,
    'block-tokens': pool.blockTokens,
    'token-ms': pool.tokenMs,
    'prefill-tokens-per-second': pool.prefillTokensPerSecond,
    'prefill-result-ms': pool.prefillResultMs,
    'kv-bytes-per-token': pool.kvBytesPerToken,
    'link-bytes-per-second': pool.linkBytesPerSecond,
    'load-lag-ms': pool.loadLagMs,
  };
  return Object.entries(options).flatMap(([name, value]) => [`--${name}`, String(value)]);
}
