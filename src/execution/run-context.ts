import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import type { DeathWatch } from './death-watch.js';
import type { Releases } from './releases.js';

/** What a run shares with the other runs of this VM. */
export interface RunContext {
  readonly kernel: Kernel;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly releases: Releases;
  readonly deaths: DeathWatch;
}
