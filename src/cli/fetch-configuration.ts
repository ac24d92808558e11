import type { BackendServer } from '../domain/backend-server.js';
import type { Preset, Route } from '../domain/route.js';
import type { Team } from '../domain/team.js';
import type { CommandContext } from './command.js';

/** The configuration as the daemon returns it, with the keys by id only. */
export interface ConfigurationView {
  readonly version: number;
  readonly teams: readonly Team[];
  readonly keys: readonly { readonly keyId: string; readonly team: string }[];
  readonly withdrawnKeyIds: readonly string[];
  readonly presets: readonly Preset[];
  readonly presetInForce: string;
  readonly routes: readonly Route[];
  readonly servers: readonly BackendServer[];
  readonly subjects: Readonly<Record<string, number>>;
}

/**
 * Fetches the configuration in force on the daemon.
 *
 * @param context - context of the command
 * @returns the configuration
 */
export async function fetchConfiguration(context: CommandContext): Promise<ConfigurationView> {
  const response = await context.client.showConfiguration({});
  return JSON.parse(response.configurationJson) as ConfigurationView;
}
