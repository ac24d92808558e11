import { z } from 'zod';

import { fail, type Outcome, succeed } from '../kernel/outcome.js';
import {
  keySchema,
  modelSchema,
  presetSchema,
  routeSchema,
  serverSchema,
  teamSchema,
} from './change.js';
import type { ConfigurationState } from './configuration.js';
import { CopyOnWriteMap } from './copy-on-write-map.js';
import type { Fold } from './fold.js';

const verdictSchema = z.strictObject({
  verdict: z.enum(['accepted', 'stale', 'invalid', 'unknown']),
  reason: z.string(),
  version: z.int().min(0),
  changeId: z.string(),
});

const foldSchema = z
  .strictObject({
    version: z.int().min(0),
    teams: z.array(teamSchema),
    keys: z.array(keySchema),
    withdrawnKeyIds: z.array(keySchema.shape.keyId),
    presets: z.array(presetSchema),
    presetInForce: z.string(),
    models: z.array(modelSchema),
    routes: z.array(routeSchema),
    servers: z.array(serverSchema),
    subjects: z.record(z.string(), z.int().positive()),
    verdicts: z.array(verdictSchema),
  })
  .refine((state) => state.presets.some((preset) => preset.name === state.presetInForce), {
    message: 'presetInForce must name an existing preset',
  });

/**
 * Converts a state to plain JSON values, for snapshots and for display.
 *
 * @param state - the state
 * @returns an object that can be serialized as JSON
 */
export function toPlainState(state: ConfigurationState): Record<string, unknown> {
  return {
    version: state.version,
    teams: [...state.teams.values()],
    keys: [...state.keys.values()],
    withdrawnKeyIds: [...state.withdrawnKeyIds],
    presets: [...state.presets.values()],
    presetInForce: state.presetInForce,
    models: [...state.models.values()],
    routes: [...state.routes.values()],
    servers: [...state.servers.values()],
    subjects: Object.fromEntries(state.subjects),
  };
}

/**
 * Serializes a fold as JSON.
 *
 * @param fold - the fold
 * @returns JSON that `parseFold` accepts
 */
export function serializeFold(fold: Fold): string {
  return JSON.stringify({ ...toPlainState(fold.state), verdicts: [...fold.verdicts.values()] });
}

/**
 * Parses a fold from JSON.
 *
 * @param json - output of `serializeFold`
 * @returns the fold, or the error when the JSON is invalid
 */
export function parseFold(json: string): Outcome<Fold, Error> {
  try {
    const stored = foldSchema.parse(JSON.parse(json));
    const state: ConfigurationState = {
      version: stored.version,
      teams: indexBy(stored.teams, (team) => team.name),
      keys: indexBy(stored.keys, (key) => key.keyId),
      withdrawnKeyIds: new Set(stored.withdrawnKeyIds),
      presets: indexBy(stored.presets, (preset) => preset.name),
      presetInForce: stored.presetInForce,
      models: indexBy(stored.models, (model) => model.name),
      routes: indexBy(stored.routes, (route) => route.path),
      servers: indexBy(stored.servers, (server) => server.name),
      subjects: CopyOnWriteMap.create(Object.entries(stored.subjects)),
    };
    const verdicts = new Map(stored.verdicts.map((verdict) => [verdict.changeId, verdict]));
    return succeed({ state, verdicts });
  } catch (error) {
    return fail(error as Error);
  }
}

function indexBy<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string,
): ReadonlyMap<string, Item> {
  return CopyOnWriteMap.create(items.map((item) => [nameOf(item), item]));
}
