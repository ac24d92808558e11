import type { ConfigurationState } from '../configuration/configuration.js';
import type { EngineServer } from '../domain/backend-server.js';
import type { Vm } from '../domain/vm.js';
import { selectSubset } from './subset.js';

/** A phase that needs an engine of its role. */
export type Phase = 'prefill' | 'decode';

/** Subsets of engines by model and phase, computed when first asked for. */
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
   * Prepares the subsets of a configuration.
   *
   * @param state - the configuration
   * @param vm - this VM
   * @param leaving - servers that the VM list shows as leaving
   * @returns new tables
   */
  static create(state: ConfigurationState, vm: Vm, leaving: ReadonlySet<string>): EngineSubsets {
    return new EngineSubsets([...state.models.keys()], state.servers, vm, leaving);
  }

  /**
   * Reads a subset.
   *
   * @param model - name of the model
   * @param phase - the phase
   * @returns the engines that this VM uses
   */
  get(model: string, phase: Phase): readonly EngineServer[] {
    const key = `${model}/${phase}/${this.vm.name}`;
    const known = this.subsets.get(key);
    if (known) return known;
    const fitting = this.engines.filter(
      (server) =>
        server.models.includes(model) && (server.role === phase || server.role === 'both'),
    );
    const subset = selectSubset(key, fitting, this.vm.availabilityZone);
    this.subsets.set(key, subset);
    return subset;
  }

  /**
   * Reads all engines that this VM uses for a phase of any model.
   *
   * @param phase - the phase
   * @returns the engines by name
   */
  getAll(phase: Phase): ReadonlyMap<string, EngineServer> {
    const engines = this.models.flatMap((model) => this.get(model, phase));
    return new Map(engines.map((server) => [server.name, server]));
  }
}
