import { setTimeout as delay } from 'node:timers/promises';

import type { Fleet, FleetDaemon } from './fleet.js';

/** Configuration that a daemon returned at one moment. */
export interface ObservedConfiguration {
  readonly atMs: number;
  readonly version: number;
  readonly presetInForce: string;
  readonly presets: readonly string[];
}

const POLL_INTERVAL_MS = 20;
const CALL_TIMEOUT_MS = 500;

/** Polls the configuration of every daemon of a fleet until it is stopped. */
export class ConfigurationWatch {
  private readonly observations = new Map<string, ObservedConfiguration[]>();

  private readonly loops = new Map<FleetDaemon, Promise<void>>();

  private stopped = false;

  private constructor(private readonly fleet: Fleet) {}

  /**
   * Starts polling.
   *
   * @param fleet - a running fleet
   * @returns a watch over its current daemons
   */
  static create(fleet: Fleet): ConfigurationWatch {
    const watch = new ConfigurationWatch(fleet);
    fleet.daemons.forEach((daemon) => watch.add(daemon));
    return watch;
  }

  /**
   * Adds a daemon to the watch.
   *
   * @param daemon - a daemon that was started later
   */
  add(daemon: FleetDaemon): void {
    this.observations.set(daemon.name, []);
    this.loops.set(daemon, this.pollDaemon(daemon));
  }

  /**
   * Lists the configurations that a daemon has returned so far.
   *
   * @param daemon - name of the daemon
   * @returns all observations in order of time
   */
  listObservations(daemon: string): readonly ObservedConfiguration[] {
    return this.observations.get(daemon) ?? [];
  }

  /**
   * Finds when a daemon first returned a version or a later one.
   *
   * @param daemon - name of the daemon
   * @param version - offset of the change
   * @param fromMs - earlier observations are ignored; they may stem from a previous process
   * @returns time on the monotonic clock, or undefined
   */
  firstObservedMs(daemon: string, version: number, fromMs: number): number | undefined {
    const isNew = (observation: ObservedConfiguration) =>
      observation.atMs >= fromMs && observation.version >= version;
    return this.listObservations(daemon).find(isNew)?.atMs;
  }

  /**
   * Lists each observation with an earlier version than the one before, or whose preset in force does
   * not match exactly one of its presets.
   *
   * @returns a line of text for each violation
   */
  listViolations(): string[] {
    return [...this.observations].flatMap(([daemon, history]) =>
      history.flatMap((observation, index) => {
        const previous = history[index - 1]?.version ?? 0;
        const wentBack = observation.version < previous;
        const known = observation.presets.filter(
          (name) => name === observation.presetInForce,
        ).length;
        return [
          ...(wentBack ? [`${daemon} went back from ${previous} to ${observation.version}`] : []),
          ...(known === 1 ? [] : [`${daemon} shows ${known} presets ${observation.presetInForce}`]),
        ];
      }),
    );
  }

  /**
   * Lists versions for which different presets in force were observed.
   *
   * @returns a line of text for each such version
   */
  listDisagreements(): string[] {
    const presets = new Map<number, Set<string>>();
    [...this.observations.values()].flat().forEach(({ version, presetInForce }) => {
      presets.set(version, (presets.get(version) ?? new Set()).add(presetInForce));
    });
    return [...presets]
      .filter(([, names]) => names.size !== 1)
      .map(([version, names]) => `version ${version} is shown with ${[...names].join(' and ')}`);
  }

  /**
   * Stops polling.
   *
   * @returns a promise that resolves when no call is pending
   */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops.values());
  }

  private async pollDaemon(daemon: FleetDaemon): Promise<void> {
    while (!this.stopped) {
      const observation = await fetchConfiguration(this.fleet, daemon).catch(() => undefined);
      if (observation) this.observations.get(daemon.name)?.push(observation);
      await delay(POLL_INTERVAL_MS);
    }
  }
}

async function fetchConfiguration(
  fleet: Fleet,
  daemon: FleetDaemon,
): Promise<ObservedConfiguration> {
  const { calls } = fleet.operatorClient(daemon);
  const answer = await calls.showConfiguration({}, { timeoutMs: CALL_TIMEOUT_MS });
  const state = JSON.parse(answer.configurationJson) as {
    presetInForce: string;
    presets: { name: string }[];
  };
  return {
    atMs: performance.now(),
    version: Number(answer.version),
    presetInForce: state.presetInForce,
    presets: state.presets.map(({ name }) => name),
  };
}
