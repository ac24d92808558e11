import type { BackendServer } from '../domain/backend-server.js';
import type { Preset, Route } from '../domain/route.js';
import type { Team } from '../domain/team.js';
import type { CommandContext } from './command.js';

/** The configuration as the daemon shows it. */
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
 * Asks the daemon for the configuration in force there.
 *
 * @param context - the command's surroundings
 * @returns the configuration
 */
export async function fetchConfiguration(context: CommandContext): Promise<ConfigurationView> {
  const response = await context.client.showConfiguration({});
  return JSON.parse(response.configurationJson) as ConfigurationView;
}
