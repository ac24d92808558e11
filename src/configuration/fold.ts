import type { LogRecord } from '../infrastructure/log-service.js';
import { presetSchema, subjectOf } from './change.js';
import type { ChangeVerdict, ConfigurationState } from './configuration.js';
import { CopyOnWriteMap } from './copy-on-write-map.js';
import { Draft } from './draft.js';
import { type ChangeEnvelope, decodeRecord } from './record.js';

/**
 * Number of recent verdicts kept: those of half a day at the design load of 1,000 changes a day.
 */
const MAX_VERDICTS = 512;

const DEFAULT_PRESET = 'ordinary';

/** Result of folding a prefix of the configuration stream, that is, all records up to an offset. */
export interface Fold {
  readonly state: ConfigurationState;
  /** Verdicts on recent changes by change id, the oldest first. */
  readonly verdicts: ReadonlyMap<string, ChangeVerdict>;
}

/**
 * Creates the fold of the empty stream.
 *
 * @returns a fold at version 0 with the preset `ordinary` in force
 */
export function createFold(): Fold {
  const preset = presetSchema.parse({ name: DEFAULT_PRESET });
  return {
    state: {
      version: 0,
      teams: CopyOnWriteMap.create(),
      keys: CopyOnWriteMap.create(),
      withdrawnKeyIds: new Set(),
      presets: CopyOnWriteMap.create([[DEFAULT_PRESET, preset]]),
      presetInForce: DEFAULT_PRESET,
      models: CopyOnWriteMap.create(),
      routes: CopyOnWriteMap.create(),
      servers: CopyOnWriteMap.create(),
      subjects: CopyOnWriteMap.create(),
    },
    verdicts: new Map(),
  };
}

/**
 * Folds records in the order of their offsets. Records at or below the current version are skipped.
 *
 * @param fold - the fold so far, which is not modified
 * @param records - records in ascending order of offset
 * @returns the fold after the records
 */
export function foldRecords(fold: Fold, records: readonly LogRecord[]): Fold {
  const fresh = records.filter((record) => record.offset > fold.state.version);
  if (fresh.length === 0) return fold;
  const draft = Draft.create(fold.state);
  const verdicts = new Map(fold.verdicts);
  fresh.forEach((record) => foldRecord(draft, verdicts, record));
  return { state: draft.finish(), verdicts };
}

function foldRecord(draft: Draft, verdicts: Map<string, ChangeVerdict>, record: LogRecord): void {
  if (record.offset <= draft.version) return;
  draft.setVersion(record.offset);
  const decoded = decodeRecord(record.data);
  if (decoded.kind === 'snapshot') return;
  if (decoded.kind === 'malformed') {
    const { changeId, reason } = decoded;
    if (changeId === undefined) return;
    recordVerdict(verdicts, { verdict: 'invalid', reason, version: record.offset, changeId });
    return;
  }
  recordVerdict(verdicts, evaluateChange(draft, decoded.envelope, record.offset));
}

/**
 * The base is checked before references, so that the losing edit of a race gets the verdict `stale`
 * instead of `invalid`.
 */
function evaluateChange(draft: Draft, envelope: ChangeEnvelope, offset: number): ChangeVerdict {
  const { changeId, base, change } = envelope;
  const subject = subjectOf(change);
  const current = draft.versionOf(subject);
  if (change.kind !== 'withdraw-key' && base !== current) {
    const reason = `${subject} is at version ${current}, and the edit was made on ${base}`;
    return { verdict: 'stale', reason, version: offset, changeId };
  }
  const invalid = draft.apply(change);
  if (invalid !== undefined) {
    return { verdict: 'invalid', reason: invalid, version: offset, changeId };
  }
  draft.recordAccepted(subject);
  return { verdict: 'accepted', reason: '', version: offset, changeId };
}

/** Keeps the first verdict: a change that was appended twice takes effect only once. */
function recordVerdict(verdicts: Map<string, ChangeVerdict>, verdict: ChangeVerdict): void {
  if (verdicts.has(verdict.changeId)) return;
  verdicts.set(verdict.changeId, verdict);
  if (verdicts.size <= MAX_VERDICTS) return;
  const [oldest] = verdicts.keys();
  if (oldest !== undefined) verdicts.delete(oldest);
}
