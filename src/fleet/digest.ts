import { z } from 'zod';

/** Flags of a member in a list. */
const READY = 1;
const DRAINING = 2;
const REACHES_STORE = 4;

const finiteNumber = z.number().finite();
const name = z.string().max(100);
const host = z.string().max(64);

/** What a VM says of itself as a member of the fleet. */
const memberSchema = z.object({
  vm: name,
  incarnation: z.string().max(40),
  host,
  callers: z.string().max(80),
  zone: name,
  /** Processor time that it may use, in cores. */
  power: finiteNumber,
  ready: z.boolean(),
  draining: z.boolean(),
  reachesStore: z.boolean(),
});

/** A member in a list, without the names of its fields: a list of 390 must fit into one datagram. */
const memberTupleSchema = z
  .tuple([name, z.string().max(40), host, z.string().max(80), name, finiteNumber, finiteNumber])
  .transform(([vm, incarnation, at, callers, zone, power, flags]): FleetMember => ({
    ...{ vm, incarnation, host: at, callers, zone, power },
    ready: hasFlag(flags, READY),
    draining: hasFlag(flags, DRAINING),
    reachesStore: hasFlag(flags, REACHES_STORE),
  }));

/** What a VM knows of the store: its configuration, the end of what it has read, a hash of the servers. */
const stateSchema = z.object({
  configuration: finiteNumber,
  catalog: finiteNumber,
  catalogHash: finiteNumber,
});

/** Work of one VM or of several. */
const workSchema = z.object({
  /** Requests that wait for a place and can still be on time. */
  punctual: finiteNumber,
  /** Tokens by team since the start: all, and those inside the rate. */
  spent: z.record(z.string(), z.tuple([finiteNumber, finiteNumber])),
  /** Running requests, KV cache tokens and prompt tokens by server. */
  loads: z.array(z.tuple([z.string(), finiteNumber, finiteNumber, finiteNumber])),
  avoided: z.array(z.tuple([z.string(), finiteNumber])),
  leavers: z.array(z.tuple([z.string(), finiteNumber])),
});

const digestSchema = z.object({
  ...memberSchema.shape,
  ...stateSchema.shape,
  ...workSchema.shape,
  kind: z.literal('digest'),
  sequence: finiteNumber,
  /** The VM that sums this VM's work for the others; empty in a small fleet. */
  hub: name,
  /** Number of the last list that the hub has sent; 0 before the first. */
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
  /** True when all other VMs are in it, false when only the hub and its reporters are. */
  whole: z.boolean(),
  /** Number of the hub's list of members; it changes with the list. */
  list: finiteNumber,
  /** VMs that are heard; left out while the receiver has the list. */
  members: z.array(memberTupleSchema).optional(),
});

const messageSchema = z.discriminatedUnion('kind', [digestSchema, summarySchema]);

/** A VM as a member of the fleet. */
export type FleetMember = z.infer<typeof memberSchema>;

/** Work that is told to other VMs. */
export type FleetWork = z.infer<typeof workSchema>;

/**
 * State that a VM tells the others several times a second. Every digest stands for itself, so a lost
 * one needs no repeat.
 */
export type Digest = z.infer<typeof digestSchema>;

/** The sum of many VMs' work, from the hub that has their digests. */
export type Summary = z.infer<typeof summarySchema>;

/** A datagram between VMs. */
export type FleetMessage = Digest | Summary;

/**
 * Encodes a message.
 *
 * @param message - digest or summary
 * @returns a datagram
 */
export function encodeMessage(message: FleetMessage): Buffer {
  if (message.kind === 'digest' || !message.members) return Buffer.from(JSON.stringify(message));
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
 * @param datagram - bytes of any origin
 * @returns the message, or undefined when it is none
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
 * Takes the member out of a digest.
 *
 * @param digest - what a VM says
 * @returns the part that concerns membership
 */
export function toMember(digest: FleetMember): FleetMember {
  const { vm, incarnation, host: at, callers, zone, power } = digest;
  const { ready, draining, reachesStore } = digest;
  return { vm, incarnation, host: at, callers, zone, power, ready, draining, reachesStore };
}
