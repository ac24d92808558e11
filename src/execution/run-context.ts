import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import type { EngineDeathDetector } from './engine-death-detector.js';
import type { HoldReleaser } from './hold-releaser.js';

/** What a run shares with the other runs of this VM. */
export interface RunContext {
  readonly kernel: Kernel;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly holdReleaser: HoldReleaser;
  readonly deathDetector: EngineDeathDetector;
}
