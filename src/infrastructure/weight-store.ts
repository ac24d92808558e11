import type { Outcome } from '../kernel/outcome.js';
import { Service } from '../kernel/service.js';

/** An existing weight file and its size in bytes. */
export interface WeightFile {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

/** The platform's rate-limited store of model weights. */
export abstract class WeightStore extends Service {
  /**
   * Checks that a version exists before an engine is ordered to load it.
   *
   * @param model - name of the model
   * @param version - version of the weights
   * @returns the file, or why it is unavailable
   */
  abstract find(model: string, version: string): Promise<Outcome<WeightFile, Error>>;
}

declare module '../kernel/service.js' {
  interface Services {
    'weight-store': WeightStore;
  }
}
