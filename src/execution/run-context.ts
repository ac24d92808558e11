import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import type { DeathWatch } from './death-watch.js';
import type { HoldReleaser } from './hold-releaser.js';

/** Services and settings that all runs of this VM share. */
export interface RunContext {
  readonly kernel: Kernel;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly holdReleaser: HoldReleaser;
  readonly deathWatch: DeathWatch;
}
