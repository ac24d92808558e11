import { setTimeout as delay } from 'node:timers/promises';

import type { Fleet } from '../../harness/fleet.js';
import type { LaunchedStandIn } from '../../harness/stand-in-launcher.js';

/** Time from the end of an engine to its next start, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** Starts engines again that have ended, on the same ports and with the same arguments. */
export class EngineSupervisor {
  private stopped = false;

  private deathCount = 0;

  /**
   * Begins to watch the engines of a fleet.
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
    // The end of the scenario ends all processes, which is no death of an engine.
    void fleet.daemons[0]?.process.ended.then(() => supervisor.stop());
    return supervisor;
  }

  /** Engines that have ended since the beginning. */
  get deaths(): number {
    return this.deathCount;
  }

  /** Ends the supervision; engines that end later stay down. */
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
