import { readFile } from 'node:fs/promises';

import type { z } from 'zod';

import { fail, type Outcome, succeed } from '../kernel/outcome.js';
import { describeIssues } from './describe-issues.js';
import { FileFailure } from './file-failure.js';

/**
 * Reads and validates a JSON file.
 *
 * @param file - path of the file
 * @param schema - schema of the content
 * @returns the value with defaults applied, or all faults of the file
 */
export async function readJsonFile<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Promise<Outcome<z.output<Schema>, FileFailure>> {
  const text = await readText(file);
  if (text.kind === 'failed') return text;
  return parseJsonText(file, text.value, schema);
}

/**
 * Parses and validates JSON text.
 *
 * @param file - name of the source, used in messages
 * @param text - JSON text
 * @param schema - schema of the content
 * @returns the value with defaults applied, or all faults of the text
 */
export function parseJsonText<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Outcome<z.output<Schema>, FileFailure> {
  let input: unknown;
  try {
    input = JSON.parse(text);
  } catch (error) {
    return failForFile(file, `text that is not JSON (${(error as Error).message})`, 'JSON');
  }
  const result = schema.safeParse(input);
  if (result.success) return succeed(result.data);
  return fail(FileFailure.create(file, describeIssues(result.error.issues, input)));
}

async function readText(file: string): Promise<Outcome<string, FileFailure>> {
  try {
    return succeed(await readFile(file, 'utf8'));
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return failForFile(
      file,
      `no readable file (${code ?? 'unknown error'})`,
      'a readable JSON file',
    );
  }
}

function failForFile(
  file: string,
  found: string,
  allowed: string,
): { kind: 'failed'; failure: FileFailure } {
  return fail(FileFailure.create(file, [{ field: '(file)', found, allowed }]));
}
