import type { ConfigurationState } from '../configuration/configuration.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Vm } from '../domain/vm.js';
import { selectSubset } from './subset.js';

/** Phase of a model request; it runs on an engine whose role is this phase or `both`. */
export type Phase = 'prefill' | 'decode';

/** Engine subsets of one VM by model and phase, computed lazily and cached. */
export class EngineSubsets {
  private readonly subsets = new Map<string, readonly EngineServer[]>();

  private readonly engines: readonly EngineServer[];

  private constructor(
    private readonly models: readonly string[],
    servers: ConfigurationState['servers'],
    private readonly vm: Vm,
    leaving: ReadonlySet<string>,
  ) {
    this.engines = [...servers.values()].filter(
      (server): server is EngineServer =>
        server.kind === 'engine' && !server.draining && !leaving.has(server.name),
    );
  }

  /**
   * Creates the subsets of a configuration without computing them.
   *
   * @param state - configuration in force
   * @param vm - this VM
   * @param leaving - names of servers that the VM list reports as leaving; they are left out
   * @returns new subsets
   */
  static create(state: ConfigurationState, vm: Vm, leaving: ReadonlySet<string>): EngineSubsets {
    return new EngineSubsets([...state.models.keys()], state.servers, vm, leaving);
  }

  /**
   * Returns the subset for a model and phase.
   *
   * @param model - name of the model
   * @param phase - the phase
   * @returns engines that this VM uses, without draining and leaving ones
   */
  get(model: string, phase: Phase): readonly EngineServer[] {
    const key = `${model}/${phase}/${this.vm.name}`;
    const cached = this.subsets.get(key);
    if (cached) return cached;
    const matching = this.engines.filter(
      (server) =>
        server.models.includes(model) && (server.role === phase || server.role === 'both'),
    );
    const subset = selectSubset(key, matching, this.vm.availabilityZone);
    this.subsets.set(key, subset);
    return subset;
  }

  /**
   * Returns the engines that this VM uses for a phase of any model.
   *
   * @param phase - the phase
   * @returns the engines by name
   */
  getAll(phase: Phase): ReadonlyMap<string, EngineServer> {
    const engines = this.models.flatMap((model) => this.get(model, phase));
    return new Map(engines.map((server) => [server.name, server]));
  }
}
