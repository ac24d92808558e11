import type { Order } from '../backends/engine.js';
import type { ConfigurationState } from '../configuration/configuration.js';
import type { BackendServer, EngineServer } from '../domain/backend-server.js';

/** One part of the desired state of an engine, as an order. */
export interface DesiredOrder extends Pick<Order, 'kind' | 'value'> {
  /** Subject of the order; a newer order with the same subject replaces it. */
  readonly subject: string;
  /** Weights that the engine needs; undefined when the configuration names no version. */
  readonly weights: { readonly model: string; readonly version: string } | undefined;
}

/** An engine and its desired state. */
export interface DesiredEngine {
  readonly server: EngineServer;
  readonly orders: readonly DesiredOrder[];
}

/**
 * Lists the desired state of every engine of a configuration. An engine loads its models and adapters
 * before it takes its role, so that it is not used for a model that it has not loaded yet.
 *
 * @param state - the configuration
 * @returns the engines, each with its orders in the sequence in which they are sent
 */
export function listDesiredEngines(
  state: Pick<ConfigurationState, 'servers' | 'models'>,
): readonly DesiredEngine[] {
  return [...state.servers.values()].filter(isEngine).map((server) => {
    const models = server.models.map((name) =>
      createLoad('load-model', name, state.models.get(name)?.version),
    );
    const adapters = (server.adapters ?? []).map(({ name, version }) =>
      createLoad('load-adapter', name, version),
    );
    const role = { kind: 'change-role', value: server.role, subject: 'role' } as const;
    return { server, orders: [...models, ...adapters, { ...role, weights: undefined }] };
  });
}

function createLoad(
  kind: 'load-model' | 'load-adapter',
  name: string,
  version: string | undefined,
): DesiredOrder {
  const value = version === undefined ? name : `${name}/${version}`;
  const weights = version === undefined ? undefined : { model: name, version };
  return { kind, value, subject: `${kind}/${name}`, weights };
}

function isEngine(server: BackendServer): server is EngineServer {
  return server.kind === 'engine';
}
