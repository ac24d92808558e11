import { z } from 'zod';

import { boundedNumber } from '../domain/number-ranges.js';
import { UNREAD } from '../domain/store-position.js';
import { removeFaultyEntries } from './faulty-entries.js';
import { placeAnswerSchema, placeAskSchema, type PlaceMessage } from '../places/place-message.js';

/** Bits of the flags of a member tuple. */
const READY = 1;
const DRAINING = 2;
const REACHES_STORE = 4;

const nonNegative = boundedNumber.min(0);
const count = boundedNumber.default(0);
const name = z.string().max(100);
const host = z.string().max(64);

function listOf<Entry extends z.ZodType>(entry: Entry) {
  return z.array(entry).default(() => []);
}

function recordOf<Entry extends z.ZodType>(entry: Entry) {
  return z.record(z.string(), entry).default(() => ({}));
}

/** State of a VM as a member of the fleet. */
const memberSchema = z.object({
  vm: name,
  incarnation: z.string().max(40),
  host,
  callers: z.string().max(80),
  zone: name,
  /** CPU time that the VM may use, in cores. */
  power: boundedNumber,
  ready: z.boolean(),
  draining: z.boolean(),
  reachesStore: z.boolean(),
});

/** A member as a tuple without field names: a list of 390 members must fit into one datagram. */
const memberTupleSchema = z
  .tuple([name, z.string().max(40), host, z.string().max(80), name, boundedNumber, boundedNumber])
  .transform(([vm, incarnation, at, callers, zone, power, flags]): FleetMember => ({
    ...{ vm, incarnation, host: at, callers, zone, power },
    ready: hasFlag(flags, READY),
    draining: hasFlag(flags, DRAINING),
    reachesStore: hasFlag(flags, REACHES_STORE),
  }));

/** Records of evacuated zones, and the position up to which they are known. */
const evacuationsSchema = z.object({
  era: boundedNumber,
  offset: boundedNumber,
  zones: z
    .array(
      z.object({ zone: name, evacuated: z.boolean(), era: boundedNumber, offset: boundedNumber }),
    )
    .max(100),
});

/**
 * Store state that a VM holds: configuration version, position up to which it has read the server entries,
 * hash of the server entries. VMs of earlier releases send no era.
 */
const stateSchema = z.object({
  era: boundedNumber.default(0),
  evacuations: evacuationsSchema.default({ ...UNREAD, zones: [] }),
  configuration: boundedNumber,
  catalog: boundedNumber,
  catalogHash: boundedNumber,
});

/**
 * Work of one VM, or the sum of several. Entries that cannot be read are left out, so that they do not
 * remove their sender from the fleet.
 */
const workSchema = z.object({
  /** Number of requests that wait for a slot and can still meet their deadline. */
  punctual: count,
  /** Number of all requests that wait for a slot, and starts per second. */
  waiting: count,
  startsPerSecond: count,
  /** Tokens by team since the start of the process: all, and those within the rate. */
  spent: recordOf(z.tuple([boundedNumber, boundedNumber])),
  /** Requests and retries by pool since the start of the process; VMs of earlier releases send none. */
  retries: recordOf(z.tuple([boundedNumber, boundedNumber])),
  /** Requests, and sums of their prefill time, decode time and KV cache tokens, by pool. */
  costs: recordOf(z.tuple([boundedNumber, boundedNumber, boundedNumber, boundedNumber])),
  /** Server id, running requests, KV cache tokens and prompt tokens waiting for or in prefill. */
  loads: listOf(z.tuple([z.string(), boundedNumber, boundedNumber, boundedNumber])),
  avoided: listOf(z.tuple([z.string(), boundedNumber])),
  leavers: listOf(z.tuple([z.string(), boundedNumber])),
  /** Crash id, age in milliseconds, suspects and cleared suspects; VMs of earlier releases send none. */
  crashes: listOf(z.tuple([z.string(), boundedNumber, z.array(name), z.array(name)])),
  /** Prompt parts that servers have answered, and how long ago in milliseconds; VMs of earlier releases send none. */
  sound: listOf(z.tuple([name, nonNegative])),
  /** Server id, start, limit in requests per second (-1 for none) and age of the answer in milliseconds. */
  limits: listOf(z.tuple([name, boundedNumber, boundedNumber, boundedNumber])),
  /** Server id and the time for which it stays cold, in milliseconds. */
  cold: listOf(z.tuple([name, boundedNumber])),
  /** Server id, start, task, and sums of its work at light and at full load and of its refusals. */
  capacities: listOf(
    z.tuple([
      ...([name, boundedNumber, boundedNumber] as const),
      ...([nonNegative, nonNegative, nonNegative, nonNegative, nonNegative] as const),
    ]),
  ),
});

const WORK_SECTIONS: ReadonlySet<string> = new Set(Object.keys(workSchema.shape));

const digestSchema = z.object({
  ...memberSchema.shape,
  ...stateSchema.shape,
  ...workSchema.shape,
  kind: z.literal('digest'),
  sequence: boundedNumber,
  /** The hub that this VM reports to; empty in a small fleet. */
  hub: name,
  /** Id of the last member list received from the hub; 0 before the first. */
  list: boundedNumber,
  hosts: z.array(host),
});

const summarySchema = z.object({
  ...stateSchema.shape,
  ...workSchema.shape,
  kind: z.literal('summary'),
  sequence: boundedNumber,
  hub: name,
  incarnation: z.string().max(40),
  host,
  /** True for the sum of all other VMs, false for the sum of the hub and its reporters. */
  whole: z.boolean(),
  /** Id of the hub's member list, computed from its content. */
  list: boundedNumber,
  /** Reachable VMs; omitted when the receiver already has the list. */
  members: z.array(memberTupleSchema).optional(),
});

/** A question for a request to a server that another VM may send, an answer to it, or the end of a loan. */
const loanSchema = z.object({
  kind: z.literal('loan'),
  vm: name,
  step: z.enum(['ask', 'grant', 'refuse', 'return']),
  rate: z.enum(['limit', 'cold']),
  server: name,
  /** Id of the question, which becomes that of the loan. */
  loan: z.string().max(40),
});

/** A question for a trial of a request that may crash servers, an answer to it, or how the trial ended. */
const trialSchema = z.object({
  kind: z.literal('trial'),
  vm: name,
  step: z.enum(['ask', 'grant', 'refuse', 'sound', 'broken', 'unused']),
  /** The crashes that the trial is about. */
  group: z.string().max(300),
  /** Id of the question, which becomes that of the trial. */
  trial: z.string().max(40),
});

const messageSchema = z.discriminatedUnion('kind', [
  digestSchema,
  summarySchema,
  loanSchema,
  trialSchema,
  placeAskSchema,
  placeAnswerSchema,
]);

/** A VM as a member of the fleet. */
export type FleetMember = z.infer<typeof memberSchema>;

/** Work that is reported to other VMs. */
export type FleetWork = z.infer<typeof workSchema>;

/**
 * State that a VM sends to others several times a second. Every digest is complete, so that a lost one
 * need not be sent again.
 */
export type Digest = z.infer<typeof digestSchema>;

/** Sum of the work of several VMs, sent by a hub. */
export type Summary = z.infer<typeof summarySchema>;

/** Message about a loan of a request between two VMs. */
export type LoanMessage = z.infer<typeof loanSchema>;

/** Message about a trial of a request between two VMs. */
export type TrialMessage = z.infer<typeof trialSchema>;

/** Content of a datagram between VMs. */
export type FleetMessage = Digest | Summary | LoanMessage | TrialMessage | PlaceMessage;

/**
 * Encodes a message.
 *
 * @param message - the message
 * @returns a datagram
 */
export function encodeMessage(message: FleetMessage): Buffer {
  if (message.kind !== 'summary' || !message.members) return Buffer.from(JSON.stringify(message));
  return Buffer.from(JSON.stringify({ ...message, members: message.members.map(toMemberTuple) }));
}

function toMemberTuple(member: FleetMember): z.input<typeof memberTupleSchema> {
  const { vm, incarnation, host: at, callers, zone, power, ready, draining, reachesStore } = member;
  const flags =
    Number(ready) * READY + Number(draining) * DRAINING + Number(reachesStore) * REACHES_STORE;
  return [vm, incarnation, at, callers, zone, power, flags];
}

function hasFlag(flags: number, flag: number): boolean {
  return Math.floor(flags / flag) % 2 === 1;
}

/** A message as it could be read. */
export interface DecodedMessage {
  readonly message: FleetMessage;
  /** Entries of its work that could not be read, for example `loads.3`. */
  readonly removed: readonly string[];
}

/**
 * Decodes a datagram.
 *
 * @param datagram - untrusted bytes
 * @returns the message, or undefined when the bytes are not a valid message
 */
export function decodeMessage(datagram: Buffer): DecodedMessage | undefined {
  try {
    const value: unknown = JSON.parse(datagram.toString('utf8'));
    const parsed = messageSchema.safeParse(value);
    if (parsed.success) return { message: parsed.data, removed: [] };
    if (typeof value !== 'object' || value === null) return undefined;
    const remainder = removeFaultyEntries(value, parsed.error.issues, WORK_SECTIONS);
    if (!remainder) return undefined;
    const { data } = messageSchema.safeParse(remainder.rest);
    return data && { message: data, removed: remainder.removed };
  } catch {
    return undefined;
  }
}

/**
 * Extracts the member state from a digest.
 *
 * @param digest - digest, or member with more fields
 * @returns only the fields of a member
 */
export function toMember(digest: FleetMember): FleetMember {
  const { vm, incarnation, host: at, callers, zone, power } = digest;
  const { ready, draining, reachesStore } = digest;
  return { vm, incarnation, host: at, callers, zone, power, ready, draining, reachesStore };
}
