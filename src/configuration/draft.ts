import type { BackendServer } from '../domain/backend-server.js';
import type { Model, Preset, Route } from '../domain/route.js';
import type { Team, TeamKey } from '../domain/team.js';
import type { Change } from './change.js';
import type { ConfigurationState } from './configuration.js';

/** A copy of a configuration state that is modified while a batch of records is folded. */
export class Draft implements ConfigurationState {
  private constructor(
    public version: number,
    public presetInForce: string,
    readonly teams: Map<string, Team>,
    readonly keys: Map<string, TeamKey>,
    readonly withdrawnKeyIds: Set<string>,
    readonly presets: Map<string, Preset>,
    readonly models: Map<string, Model>,
    readonly routes: Map<string, Route>,
    readonly servers: Map<string, BackendServer>,
    readonly subjects: Map<string, number>,
  ) {}

  /**
   * Copies a state for modification.
   *
   * @param state - the state, which stays as it is
   * @returns a draft with the same content
   */
  static create(state: ConfigurationState): Draft {
    return new Draft(
      state.version,
      state.presetInForce,
      new Map(state.teams),
      new Map(state.keys),
      new Set(state.withdrawnKeyIds),
      new Map(state.presets),
      new Map(state.models),
      new Map(state.routes),
      new Map(state.servers),
      new Map(state.subjects),
    );
  }

  /**
   * Moves the version to a record's offset.
   *
   * @param offset - offset of the record that is being folded
   */
  advance(offset: number): void {
    this.version = offset;
  }

  /**
   * Ends the modification.
   *
   * @returns the state; the draft is not used after this
   */
  finish(): ConfigurationState {
    return { ...this };
  }

  /**
   * Applies a change whose base was current.
   *
   * @param change - the change
   * @returns why the change is invalid, or undefined when it was applied
   */
  apply(change: Change): string | undefined {
    switch (change.kind) {
      case 'put-team':
        this.teams.set(change.team.name, change.team);
        return undefined;
      case 'remove-team':
        return this.removeTeam(change.name);
      case 'give-key':
        return this.giveKey(change.key);
      case 'withdraw-key':
        this.withdrawKey(change.keyId);
        return undefined;
      case 'put-preset':
        this.presets.set(change.preset.name, change.preset);
        return undefined;
      case 'switch-preset':
        return this.switchPreset(change.name);
      case 'put-model':
        this.models.set(change.model.name, change.model);
        return undefined;
      case 'put-route':
        this.routes.set(change.route.path, change.route);
        return undefined;
      case 'remove-route':
        return this.routes.delete(change.path) ? undefined : `route ${change.path} is unknown`;
      case 'put-server':
        return this.putServer(change.server);
      case 'remove-server':
        return this.servers.delete(change.name) ? undefined : `server ${change.name} is unknown`;
      default:
        return this.setDraining(change.name, change.kind === 'drain-server');
    }
  }

  /** Keys of a removed team are withdrawn, so that they stay dead when the name is used again. */
  private removeTeam(name: string): string | undefined {
    if (!this.teams.delete(name)) return `team ${name} is unknown`;
    [...this.keys.values()]
      .filter((key) => key.team === name)
      .forEach((key) => this.withdrawKey(key.keyId));
    return undefined;
  }

  private giveKey(key: TeamKey): string | undefined {
    if (!this.teams.has(key.team)) return `team ${key.team} is unknown`;
    if (this.withdrawnKeyIds.has(key.keyId)) return `key ${key.keyId} was withdrawn`;
    if (this.keys.has(key.keyId)) return `key ${key.keyId} was given before`;
    this.keys.set(key.keyId, key);
    return undefined;
  }

  private withdrawKey(keyId: string): void {
    this.keys.delete(keyId);
    this.withdrawnKeyIds.add(keyId);
  }

  private switchPreset(name: string): string | undefined {
    if (!this.presets.has(name)) return `preset ${name} is unknown`;
    this.presetInForce = name;
    return undefined;
  }

  private putServer(server: BackendServer): string | undefined {
    const models = server.kind === 'engine' ? server.models : [];
    const unknown = models.find((model) => !this.models.has(model));
    if (unknown !== undefined) return `model ${unknown} is unknown`;
    this.servers.set(server.name, server);
    return undefined;
  }

  private setDraining(name: string, draining: boolean): string | undefined {
    const server = this.servers.get(name);
    if (!server) return `server ${name} is unknown`;
    this.servers.set(name, { ...server, draining });
    return undefined;
  }
}
