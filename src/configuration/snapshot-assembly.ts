import type { LogRecord } from '../infrastructure/log-service.js';
import { type Fold } from './fold.js';
import { parseFold } from './fold-json.js';
import { decodeRecord, type SnapshotChunk } from './record.js';

/**
 * Finds the newest complete snapshot after which no record is missing from the given records.
 *
 * @param records - records in ascending order
 * @returns the fold of the snapshot, or undefined when there is no usable snapshot
 */
export function findNewestSnapshot(records: readonly LogRecord[]): Fold | undefined {
  const first = records[0]?.offset ?? 0;
  const chunks = new Map<string, SnapshotChunk[]>();
  records.forEach((record) => {
    const decoded = decodeRecord(record.data);
    if (decoded.kind !== 'snapshot') return;
    const { id } = decoded.chunk;
    chunks.set(id, [...(chunks.get(id) ?? []), decoded.chunk]);
  });
  return [...chunks.values()]
    .filter((list) => (list[0]?.upTo ?? 0) + 1 >= first)
    .map(assembleSnapshot)
    .filter((fold) => fold !== undefined)
    .reduce<Fold | undefined>(pickNewer, undefined);
}

function pickNewer(newest: Fold | undefined, fold: Fold): Fold {
  return newest && newest.state.version >= fold.state.version ? newest : fold;
}

function assembleSnapshot(chunks: readonly SnapshotChunk[]): Fold | undefined {
  const byPart = new Map(chunks.map((chunk) => [chunk.part, chunk]));
  const [first] = chunks;
  if (!first || byPart.size !== first.parts) return undefined;
  const parts = [...byPart.values()].sort((left, right) => left.part - right.part);
  const fold = parseFold(parts.map((chunk) => chunk.state).join(''));
  if (fold.kind === 'failed' || fold.value.state.version !== first.upTo) return undefined;
  return fold.value;
}
