import { z } from 'zod';

import { UNREAD } from '../domain/store-position.js';
import { placeAnswerSchema, placeAskSchema, type PlaceMessage } from '../places/place-message.js';

/** Bits of the flags of a member tuple. */
const READY = 1;
const DRAINING = 2;
const REACHES_STORE = 4;

const finiteNumber = z.number().finite();
const nonNegative = finiteNumber.min(0);
const name = z.string().max(100);
const host = z.string().max(64);

/** State of a VM as a member of the fleet. */
const memberSchema = z.object({
  vm: name,
  incarnation: z.string().max(40),
  host,
  callers: z.string().max(80),
  zone: name,
  /** CPU time that the VM may use, in cores. */
  power: finiteNumber,
  ready: z.boolean(),
  draining: z.boolean(),
  reachesStore: z.boolean(),
});

/** A member as a tuple without field names: a list of 390 members must fit into one datagram. */
const memberTupleSchema = z
  .tuple([name, z.string().max(40), host, z.string().max(80), name, finiteNumber, finiteNumber])
  .transform(([vm, incarnation, at, callers, zone, power, flags]): FleetMember => ({
    ...{ vm, incarnation, host: at, callers, zone, power },
    ready: hasFlag(flags, READY),
    draining: hasFlag(flags, DRAINING),
    reachesStore: hasFlag(flags, REACHES_STORE),
  }));

/** Records of evacuated zones, and the position up to which they are known. */
const evacuationsSchema = z.object({
  era: finiteNumber,
  offset: finiteNumber,
  zones: z
    .array(
      z.object({ zone: name, evacuated: z.boolean(), era: finiteNumber, offset: finiteNumber }),
    )
    .max(100),
});

/**
 * Store state that a VM holds: configuration version, position up to which it has read the server entries,
 * hash of the server entries. VMs of earlier releases send no era.
 */
const stateSchema = z.object({
  era: finiteNumber.default(0),
  evacuations: evacuationsSchema.default({ ...UNREAD, zones: [] }),
  configuration: finiteNumber,
  catalog: finiteNumber,
  catalogHash: finiteNumber,
});

/** Work of one VM, or the sum of several. */
const workSchema = z.object({
  /** Number of requests that wait for a slot and can still meet their deadline. */
  punctual: finiteNumber,
  /** Number of all requests that wait for a slot, and starts per second. */
  waiting: finiteNumber.default(0),
  startsPerSecond: finiteNumber.default(0),
  /** Tokens by team since the start of the process: all, and those within the rate. */
  spent: z.record(z.string(), z.tuple([finiteNumber, finiteNumber])),
  /** Requests and retries by pool since the start of the process; VMs of earlier releases send none. */
  retries: z.record(z.string(), z.tuple([finiteNumber, finiteNumber])).default({}),
  /** Requests, and sums of their prefill time, decode time and KV cache tokens, by pool. */
  costs: z
    .record(z.string(), z.tuple([finiteNumber, finiteNumber, finiteNumber, finiteNumber]))
    .default({}),
  /** Server id, running requests, KV cache tokens and prompt tokens waiting for or in prefill. */
  loads: z.array(z.tuple([z.string(), finiteNumber, finiteNumber, finiteNumber])),
  avoided: z.array(z.tuple([z.string(), finiteNumber])),
  leavers: z.array(z.tuple([z.string(), finiteNumber])),
  /** Crash id, age in milliseconds, suspects and cleared suspects; VMs of earlier releases send none. */
  crashes: z.array(z.tuple([z.string(), finiteNumber, z.array(name), z.array(name)])).default([]),
  /** Server id, start, limit in requests per second (-1 for none) and age of the answer in milliseconds. */
  limits: z.array(z.tuple([name, finiteNumber, finiteNumber, finiteNumber])).default([]),
  /** Server id and the time for which it stays cold, in milliseconds. */
  cold: z.array(z.tuple([name, finiteNumber])).default([]),
  /** Server id, start, task, and sums of its work at light and at full load and of its refusals. */
  capacities: z
    .array(
      z.tuple([
        ...([name, finiteNumber, finiteNumber] as const),
        ...([nonNegative, nonNegative, nonNegative, nonNegative, nonNegative] as const),
      ]),
    )
    .default([]),
});

const digestSchema = z.object({
  ...memberSchema.shape,
  ...stateSchema.shape,
  ...workSchema.shape,
  kind: z.literal('digest'),
  sequence: finiteNumber,
  /** The hub that this VM reports to; empty in a small fleet. */
  hub: name,
  /** Id of the last member list received from the hub; 0 before the first. */
  list: finiteNumber,
  hosts: z.array(host),
});

const summarySchema = z.object({
  ...stateSchema.shape,
  ...workSchema.shape,
  kind: z.literal('summary'),
  sequence: finiteNumber,
  hub: name,
  incarnation: z.string().max(40),
  host,
  /** True for the sum of all other VMs, false for the sum of the hub and its reporters. */
  whole: z.boolean(),
  /** Id of the hub's member list, computed from its content. */
  list: finiteNumber,
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

const messageSchema = z.discriminatedUnion('kind', [
  digestSchema,
  summarySchema,
  loanSchema,
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

/** Content of a datagram between VMs. */
export type FleetMessage = Digest | Summary | LoanMessage | PlaceMessage;

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

/**
 * Decodes a datagram.
 *
 * @param datagram - untrusted bytes
 * @returns the message, or undefined when the bytes are not a valid message
 */
export function decodeMessage(datagram: Buffer): FleetMessage | undefined {
  try {
    const parsed = messageSchema.safeParse(JSON.parse(datagram.toString('utf8')));
    return parsed.success ? parsed.data : undefined;
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
