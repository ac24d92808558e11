import { setTimeout as delay } from 'node:timers/promises';

import type { Fleet, FleetDaemon } from './fleet.js';

/** What one daemon showed at one moment. */
export interface ShownConfiguration {
  readonly atMs: number;
  readonly version: number;
  readonly presetInForce: string;
  readonly presets: readonly string[];
}

const POLL_MS = 20;
const CALL_TIMEOUT_MS = 500;

/** Polls what every daemon of a fleet shows as its configuration, until it is stopped. */
export class ConfigurationWatch {
  private readonly shown = new Map<string, ShownConfiguration[]>();

  private readonly loops = new Map<FleetDaemon, Promise<void>>();

  private stopped = false;

  private constructor(private readonly fleet: Fleet) {}

  /**
   * Starts to poll.
   *
   * @param fleet - a running fleet
   * @returns a watch over its present daemons
   */
  static create(fleet: Fleet): ConfigurationWatch {
    const watch = new ConfigurationWatch(fleet);
    fleet.daemons.forEach((daemon) => watch.add(daemon));
    return watch;
  }

  /**
   * Polls one more daemon.
   *
   * @param daemon - a daemon that was started later
   */
  add(daemon: FleetDaemon): void {
    this.shown.set(daemon.name, []);
    this.loops.set(daemon, this.follow(daemon));
  }

  /**
   * Reads what a daemon has shown so far.
   *
   * @param daemon - name of the daemon
   * @returns all answers in order of time
   */
  history(daemon: string): readonly ShownConfiguration[] {
    return this.shown.get(daemon) ?? [];
  }

  /**
   * Finds when a daemon showed a version or a later one, from a moment on.
   *
   * @param daemon - name of the daemon
   * @param version - offset of the change
   * @param fromMs - answers before this are ignored, so that those of an earlier process do not count
   * @returns time on the monotonic clock, or undefined
   */
  firstShownMs(daemon: string, version: number, fromMs: number): number | undefined {
    const isNew = (one: ShownConfiguration) => one.atMs >= fromMs && one.version >= version;
    return this.history(daemon).find(isNew)?.atMs;
  }

  /**
   * Describes each answer that went back or whose preset in force is not exactly one known preset.
   *
   * @returns a line for each violation
   */
  listViolations(): string[] {
    return [...this.shown].flatMap(([daemon, history]) =>
      history.flatMap((one, index) => {
        const before = history[index - 1]?.version ?? 0;
        const wentBack = one.version < before;
        const known = one.presets.filter((name) => name === one.presetInForce).length;
        return [
          ...(wentBack ? [`${daemon} went back from ${before} to ${one.version}`] : []),
          ...(known === 1 ? [] : [`${daemon} shows ${known} presets ${one.presetInForce}`]),
        ];
      }),
    );
  }

  /**
   * Finds versions at which two daemons showed different presets in force.
   *
   * @returns a line for each such version
   */
  listDisagreements(): string[] {
    const presets = new Map<number, Set<string>>();
    [...this.shown.values()].flat().forEach(({ version, presetInForce }) => {
      presets.set(version, (presets.get(version) ?? new Set()).add(presetInForce));
    });
    return [...presets]
      .filter(([, names]) => names.size !== 1)
      .map(([version, names]) => `version ${version} is shown with ${[...names].join(' and ')}`);
  }

  /**
   * Ends the polling.
   *
   * @returns a promise that resolves when no call is open
   */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops.values());
  }

  private async follow(daemon: FleetDaemon): Promise<void> {
    while (!this.stopped) {
      const one = await readShown(this.fleet, daemon).catch(() => undefined);
      if (one) this.shown.get(daemon.name)?.push(one);
      await delay(POLL_MS);
    }
  }
}

async function readShown(fleet: Fleet, daemon: FleetDaemon): Promise<ShownConfiguration> {
  const { calls } = fleet.operator(daemon);
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
