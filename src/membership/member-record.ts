import { z } from 'zod';

import type { Member } from './membership.js';

const addressSchema = z.object({ host: z.string(), port: z.int() });

const member = z.object({
  name: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  peers: addressSchema,
  callers: addressSchema,
  operators: addressSchema,
});

const commanderSchema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  fencingNumber: z.int(),
});

const changeSchema = z.object({
  epoch: z.int(),
  joined: member.optional(),
  removed: member.optional(),
});

const snapshotSchema = z.object({
  epoch: z.int(),
  members: z.array(z.object({ member, joinedAt: z.int() })),
  changes: z.array(changeSchema),
  commander: commanderSchema.optional(),
});

const recordSchema = z.discriminatedUnion('kind', [
  z.object({ format: z.literal(1), kind: z.literal('joined'), member }),
  z.object({
    format: z.literal(1),
    kind: z.literal('removed'),
    vm: z.string(),
    incarnation: z.string(),
    evidence: z.enum(['fenced', 'left', 'replaced', 'unlisted']),
    /** Newest epoch that the fence covers; required if the evidence is `fenced`. */
    epoch: z.int().optional(),
  }),
  z.object({
    format: z.literal(1),
    kind: z.literal('commander'),
    vm: z.string(),
    incarnation: z.string(),
    /** Fencing number of the previous commander; 0 if there was none. */
    succeeds: z.int(),
  }),
  z.object({
    format: z.literal(1),
    kind: z.literal('snapshot'),
    upTo: z.int(),
    state: snapshotSchema,
  }),
]);

/** A record of the log stream `membership`. */
export type MemberRecord = z.infer<typeof recordSchema>;

/** How one record changed the member list. */
export interface MemberChange {
  readonly epoch: number;
  readonly joined?: Member;
  readonly removed?: Member;
}

/** Member state as written in a snapshot record. */
export type MemberSnapshot = z.infer<typeof snapshotSchema>;

/**
 * Parses a record. A record of another format version is ignored.
 *
 * @param data - data of the log record
 * @returns the record, or undefined when it is malformed or not of format 1
 */
export function parseMemberRecord(data: string): MemberRecord | undefined {
  return parseJson(data, recordSchema);
}

/**
 * Parses the content of a snapshot.
 *
 * @param data - content as JSON
 * @returns the snapshot, or undefined when it is malformed
 */
export function parseMemberSnapshot(data: string): MemberSnapshot | undefined {
  return parseJson(data, snapshotSchema);
}

function parseJson<Value>(data: string, schema: z.ZodType<Value>): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
