import { setTimeout as delay } from 'node:timers/promises';

import type { Fleet } from '../../harness/fleet.js';
import type { LaunchedStandIn } from '../../harness/stand-in-launcher.js';

/** Delay between the exit of an engine and its restart, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** Restarts engines that have exited, on the same ports and with the same arguments. */
export class EngineSupervisor {
  private stopped = false;

  private deathCount = 0;

  /**
   * Starts watching the engines of a fleet.
   *
   * @param fleet - a running fleet
   * @returns the supervisor
   */
  static create(fleet: Fleet): EngineSupervisor {
    const supervisor = new EngineSupervisor();
    const engines = [...fleet.servers].filter(([name]) => !name.startsWith('yard'));
    engines.forEach(([, engine]) => {
      void supervisor.watch(engine);
    });
    // The end of the scenario stops all processes; those exits are not counted as engine deaths.
    void fleet.daemons[0]?.process.ended.then(() => supervisor.stop());
    return supervisor;
  }

  /** Number of engine exits since the start. */
  get deaths(): number {
    return this.deathCount;
  }

  /** Stops the supervision; engines that exit later are not restarted. */
  stop(): void {
    this.stopped = true;
  }

  private async watch(engine: LaunchedStandIn): Promise<void> {
    let running = engine;
    for (;;) {
      await running.process.ended;
      this.deathCount += 1;
      await delay(RESTART_DELAY_MS);
      if (this.stopped) return;
      const started = await running.restart().catch(() => undefined);
      if (!started) return;
      running = started;
    }
  }
}
