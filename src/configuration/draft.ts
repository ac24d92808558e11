import type { BackendServer } from '../domain/backend-server.js';
import type { Model, Preset, Route } from '../domain/route.js';
import type { Team, TeamKey } from '../domain/team.js';
import type { Change } from './change.js';
import type { ConfigurationState } from './configuration.js';
import { CopyOnWriteMap } from './copy-on-write-map.js';

/** Mutable collections of a configuration state. */
interface Collections {
  teams: CopyOnWriteMap<Team>;
  keys: CopyOnWriteMap<TeamKey>;
  withdrawnKeyIds: Set<string>;
  presets: CopyOnWriteMap<Preset>;
  models: CopyOnWriteMap<Model>;
  routes: CopyOnWriteMap<Route>;
  servers: CopyOnWriteMap<BackendServer>;
  subjects: CopyOnWriteMap<number>;
}

/**
 * Mutable working copy of a configuration state, used while a batch of records is folded. A
 * collection is copied at its first modification, and each of its buckets when it is first
 * modified, because copying whole collections takes tens of milliseconds with 37,000 teams.
 */
export class Draft {
  /** Collections that this draft has copied and may modify. */
  private readonly copies = new Set<object>();

  private constructor(private state: ConfigurationState) {}

  /**
   * Creates a draft.
   *
   * @param state - the original state, which is not modified
   * @returns a draft with the same content
   */
  static create(state: ConfigurationState): Draft {
    return new Draft(state);
  }

  /** Offset of the last record that was folded. */
  get version(): number {
    return this.state.version;
  }

  /**
   * Sets the version to a record's offset.
   *
   * @param offset - offset of the record that is being folded
   */
  setVersion(offset: number): void {
    this.state = { ...this.state, version: offset };
  }

  /**
   * Finishes the draft and returns the modified state.
   *
   * @returns the state; the draft must not be used after this
   */
  finish(): ConfigurationState {
    this.copies.forEach((copy) => {
      if (copy instanceof CopyOnWriteMap) copy.markShared();
    });
    return this.state;
  }

  /**
   * Applies a change whose base has been checked to be current.
   *
   * @param change - the change
   * @returns the reason why the change is invalid, or undefined when it was applied
   */
  apply(change: Change): string | undefined {
    switch (change.kind) {
      case 'put-team':
        this.writable('teams').set(change.team.name, change.team);
        return undefined;
      case 'remove-team':
        return this.removeTeam(change.name);
      case 'give-key':
        return this.giveKey(change.key);
      case 'withdraw-key':
        this.withdrawKey(change.keyId);
        return undefined;
      case 'put-preset':
        this.writable('presets').set(change.preset.name, change.preset);
        return undefined;
      case 'switch-preset':
        return this.switchPreset(change.name);
      case 'put-model':
        this.writable('models').set(change.model.name, change.model);
        return undefined;
      case 'put-route':
        this.writable('routes').set(change.route.path, change.route);
        return undefined;
      case 'remove-route':
        return this.remove('routes', change.path) ? undefined : `route ${change.path} is unknown`;
      case 'put-server':
        return this.putServer(change.server);
      case 'remove-server':
        return this.remove('servers', change.name) ? undefined : `server ${change.name} is unknown`;
      default:
        return this.setDraining(change.name, change.kind === 'drain-server');
    }
  }

  /**
   * Returns the version of a subject.
   *
   * @param subject - the subject
   * @returns offset of the last accepted change to it; 0 when there is none
   */
  versionOf(subject: string): number {
    return this.state.subjects.get(subject) ?? 0;
  }

  /**
   * Records the current version as the version of a subject whose change was accepted.
   *
   * @param subject - the changed subject
   */
  recordAccepted(subject: string): void {
    this.writable('subjects').set(subject, this.version);
  }

  /** Returns a modifiable collection; it is copied at its first modification. */
  private writable<Name extends keyof Collections>(name: Name): Collections[Name] {
    const current = this.state[name] as Collections[Name];
    if (this.copies.has(current)) return current;
    const copy = copyCollection(current) as Collections[Name];
    this.copies.add(copy);
    this.state = { ...this.state, [name]: copy };
    return copy;
  }

  private remove(name: 'routes' | 'servers' | 'teams', item: string): boolean {
    return this.state[name].has(item) && this.writable(name).delete(item);
  }

  /**
   * Keys of a removed team are withdrawn, so that they stay invalid when the team name is reused.
   */
  private removeTeam(name: string): string | undefined {
    if (!this.remove('teams', name)) return `team ${name} is unknown`;
    [...this.state.keys.values()]
      .filter((key) => key.team === name)
      .forEach((key) => this.withdrawKey(key.keyId));
    return undefined;
  }

  private giveKey(key: TeamKey): string | undefined {
    if (!this.state.teams.has(key.team)) return `team ${key.team} is unknown`;
    if (this.state.withdrawnKeyIds.has(key.keyId)) return `key ${key.keyId} was withdrawn`;
    if (this.state.keys.has(key.keyId)) return `key ${key.keyId} was given before`;
    this.writable('keys').set(key.keyId, key);
    return undefined;
  }

  private withdrawKey(keyId: string): void {
    if (this.state.keys.has(keyId)) this.writable('keys').delete(keyId);
    if (!this.state.withdrawnKeyIds.has(keyId)) this.writable('withdrawnKeyIds').add(keyId);
  }

  private switchPreset(name: string): string | undefined {
    if (!this.state.presets.has(name)) return `preset ${name} is unknown`;
    this.state = { ...this.state, presetInForce: name };
    return undefined;
  }

  private putServer(server: BackendServer): string | undefined {
    const models = server.kind === 'engine' ? server.models : [];
    const unknown = models.find((model) => !this.state.models.has(model));
    if (unknown !== undefined) return `model ${unknown} is unknown`;
    this.writable('servers').set(server.name, server);
    return undefined;
  }

  private setDraining(name: string, draining: boolean): string | undefined {
    const server = this.state.servers.get(name);
    if (!server) return `server ${name} is unknown`;
    this.writable('servers').set(name, { ...server, draining });
    return undefined;
  }
}

function copyCollection(current: Set<string> | ReadonlyMap<string, unknown>): object {
  if (current instanceof Set) return new Set(current);
  return current instanceof CopyOnWriteMap ? current.copy() : CopyOnWriteMap.create(current);
}
