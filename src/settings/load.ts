import type { Outcome } from '../kernel/outcome.js';
import type { FileFailure } from './file-failure.js';
import { readJsonFile } from './read-json-file.js';
import { type Settings, settingsSchema } from './schema.js';

/**
 * Reads the daemon's settings file.
 *
 * @param file - path of the file
 * @returns the settings with defaults applied, or all faults of the file
 */
export function loadSettings(file: string): Promise<Outcome<Settings, FileFailure>> {
  return readJsonFile(file, settingsSchema);
}
