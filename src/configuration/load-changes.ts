import { z } from 'zod';

import { type Outcome, succeed } from '../kernel/outcome.js';
import type { FileFailure } from '../settings/file-failure.js';
import { parseJsonText, readJsonFile } from '../settings/read-json-file.js';
import { type Change, changeSchema } from './change.js';

const listSchema = z.array(changeSchema);

/**
 * Loads a file that contains one change or a list of changes.
 *
 * @param file - path of the file
 * @returns the changes with defaults filled in, or all errors of the file
 */
export async function loadChanges(file: string): Promise<Outcome<readonly Change[], FileFailure>> {
  const raw = await readJsonFile(file, z.unknown());
  if (raw.kind === 'failed') return raw;
  const text = JSON.stringify(raw.value);
  if (Array.isArray(raw.value)) return parseJsonText(file, text, listSchema);
  const one = parseJsonText(file, text, changeSchema);
  return one.kind === 'failed' ? one : succeed([one.value]);
}
