import { randomUUID } from 'node:crypto';

import { z } from 'zod';

import { describeIssues } from '../settings/describe-issues.js';
import { type Change, changeSchema } from './change.js';

/**
 * Keeps chunks below the log's limit of 256 KiB per record even when every character is escaped.
 */
const CHUNK_CHARACTERS = 98_304;

const changeId = z.string().min(1).max(64);

const envelopeSchema = z.strictObject({
  format: z.literal(1),
  changeId,
  base: z.int().min(0),
  operator: z.string().min(1).max(128),
  change: changeSchema,
});

const snapshotSchema = z.strictObject({
  format: z.literal(1),
  snapshot: z.strictObject({
    id: changeId,
    upTo: z.int().min(0),
    part: z.int().min(1),
    parts: z.int().min(1),
    state: z.string(),
  }),
});

/** A change as stored in the log. */
export type ChangeEnvelope = z.infer<typeof envelopeSchema>;

/** One chunk of a snapshot; a large state is split over several records. */
export type SnapshotChunk = z.infer<typeof snapshotSchema>['snapshot'];

/** Decoded record of the configuration stream. */
export type DecodedRecord =
  | { readonly kind: 'change'; readonly envelope: ChangeEnvelope }
  | { readonly kind: 'snapshot'; readonly chunk: SnapshotChunk }
  | { readonly kind: 'malformed'; readonly changeId: string | undefined; readonly reason: string };

/**
 * Encodes a change as a record.
 *
 * @param changeIdText - id by which the verdict can be looked up
 * @param base - version of the subject that the edit is based on
 * @param operator - name of the operator who made the edit
 * @param change - the change
 * @returns the record's data
 */
export function encodeChange(
  changeIdText: string,
  base: number,
  operator: string,
  change: Change,
): string {
  return JSON.stringify({ format: 1, changeId: changeIdText, base, operator, change });
}

/**
 * Encodes a snapshot as records that are to be appended in one call.
 *
 * @param upTo - offset of the last record that the state includes
 * @param stateJson - the state as JSON
 * @returns the data of each record
 */
export function encodeSnapshot(upTo: number, stateJson: string): string[] {
  const id = randomUUID();
  const parts = Math.max(1, Math.ceil(stateJson.length / CHUNK_CHARACTERS));
  return Array.from({ length: parts }, (_, index) => {
    const state = stateJson.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS);
    return JSON.stringify({ format: 1, snapshot: { id, upTo, part: index + 1, parts, state } });
  });
}

/**
 * Decodes a record.
 *
 * @param data - the record's data
 * @returns a change, a chunk of a snapshot, or the reason why the record is malformed
 */
export function decodeRecord(data: string): DecodedRecord {
  const input = parseJson(data);
  if (typeof input !== 'object' || input === null) {
    return { kind: 'malformed', changeId: undefined, reason: 'the record is not a JSON object' };
  }
  if ('snapshot' in input) {
    const result = snapshotSchema.safeParse(input);
    if (result.success) return { kind: 'snapshot', chunk: result.data.snapshot };
    return { kind: 'malformed', changeId: undefined, reason: 'the snapshot is malformed' };
  }
  const result = envelopeSchema.safeParse(input);
  if (result.success) return { kind: 'change', envelope: result.data };
  const [issue] = describeIssues(result.error.issues, input);
  const id = changeId.safeParse((input as { changeId?: unknown }).changeId);
  const reason = issue
    ? `${issue.field}: found ${issue.found}; allowed is ${issue.allowed}`
    : 'the record is malformed';
  return { kind: 'malformed', changeId: id.success ? id.data : undefined, reason };
}

function parseJson(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
}
