import fc from 'fast-check';

import { type Change, changeSchema } from '../../src/configuration/change.js';
import { hashSecret } from '../../src/configuration/keys.js';
import type { LogRecord } from '../../src/infrastructure/log-service.js';

/** Secret of every key that these fixtures create. */
export const SECRET = 's3cret';

const ADDRESS = { host: '127.0.0.1', port: 9100 };

/** Creates a change from words, for example `team oval`. */
export function createChange(kind: string, first: string, second = ''): Change {
  return changeSchema.parse(createRawChange(kind, first, second));
}

function createRawChange(kind: string, first: string, second: string): object {
  const server = { name: first, address: ADDRESS, availabilityZone: 'sando' };
  switch (kind) {
    case 'team':
      return { kind: 'put-team', team: { name: first, rate: 100, burst: 200 } };
    case 'negative-rate':
      return { kind: 'put-team', team: { name: first, rate: -1, burst: 200 } };
    case 'remove-team':
    case 'remove-server':
      return { kind, name: first };
    case 'key':
      return {
        kind: 'give-key',
        key: { keyId: first, team: second, secretHash: hashSecret(SECRET) },
      };
    case 'withdraw':
      return { kind: 'withdraw-key', keyId: first };
    case 'preset':
      return { kind: 'put-preset', preset: { name: first } };
    case 'switch':
      return { kind: 'switch-preset', name: first };
    case 'drain':
      return { kind: 'drain-server', name: first };
    case 'server':
      return { kind: 'put-server', server: { ...server, kind: 'service', pool: 'yard' } };
    default:
      return {
        kind: 'put-server',
        server: { ...server, kind: 'engine', role: 'both', models: [second] },
      };
  }
}

/** Creates records from a list such as `team oval 0; key k001 oval 0 id=a; raw {}`. */
export function createRecords(text: string): LogRecord[] {
  const lines = text.split('; ').filter(Boolean);
  return lines.map((line, index) => createRecord(index + 1, createData(line, index + 1)));
}

/** Creates a record whose timestamp equals its offset. */
export function createRecord(offset: number, data: string): LogRecord {
  return { offset, timestampMs: offset, data };
}

function createData(line: string, offset: number): string {
  if (line.startsWith('raw ')) return line.slice(4);
  const words = line.split(' ');
  const id = words.find((word) => word.startsWith('id='));
  const rest = words.filter((word) => word !== id);
  const [kind = '', first = '', second = ''] = rest;
  const change = createRawChange(kind, first, rest.length > 3 ? second : '');
  const changeId = id?.slice(3) ?? `change-${offset}`;
  return JSON.stringify({
    format: 1,
    changeId,
    base: Number(rest.at(-1)),
    operator: 'test',
    change,
  });
}

const TEAMS = ['oval', 'crew'];
const KEYS = ['k001', 'k002', 'k003'];
const PRESETS = ['ordinary', 'peak'];
const SERVERS = ['yard-1', 'yard-2'];

const anyChange = fc.oneof(
  fc.tuple(fc.constantFrom('team', 'remove-team'), fc.constantFrom(...TEAMS)),
  fc.tuple(fc.constant('key'), fc.constantFrom(...KEYS), fc.constantFrom(...TEAMS)),
  fc.tuple(fc.constant('withdraw'), fc.constantFrom(...KEYS)),
  fc.tuple(fc.constantFrom('preset', 'switch'), fc.constantFrom(...PRESETS)),
  fc.tuple(fc.constantFrom('server', 'drain', 'remove-server'), fc.constantFrom(...SERVERS)),
);

const anyBase = fc.oneof(
  fc.constant('current' as const),
  fc.constant('current' as const),
  fc.nat({ max: 12 }),
);

/** One step of an arbitrary stream; the base `current` is resolved when the stream is built. */
export type StreamStep =
  | { readonly kind: 'change'; readonly change: Change; readonly base: 'current' | number }
  | { readonly kind: 'raw'; readonly data: string };

/** Arbitrary steps: changes with current and with arbitrary bases, and malformed records. */
export const anySteps: fc.Arbitrary<StreamStep[]> = fc.array(
  fc.oneof(
    {
      weight: 9,
      arbitrary: fc.record({
        kind: fc.constant('change' as const),
        change: anyChange.map(([kind, first, second]) => createChange(kind, first, second)),
        base: anyBase,
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('raw' as const),
        data: fc.oneof(fc.string(), fc.json()),
      }),
    },
  ),
  { maxLength: 40 },
);
