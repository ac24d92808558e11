import { z } from 'zod';

const base = { format: z.literal(1), key: z.string(), attemptId: z.string() };

const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...base,
    kind: z.literal('intent'),
    bodyHash: z.string(),
    vm: z.string(),
    incarnation: z.string(),
    /** Issue time of the idempotency key, in milliseconds since the Unix epoch. */
    issuedMs: z.number(),
  }),
  z.object({ ...base, kind: z.literal('abandoned') }),
  z.object({ ...base, kind: z.literal('unknown') }),
  z.object({
    ...base,
    kind: z.literal('outcome'),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
    /** Base64; undefined when the body was too large to store. */
    body: z.string().optional(),
  }),
]);

/** A record of an `executions` stream. */
export type ExecutionRecord = z.infer<typeof recordSchema>;

/** A stored answer that is replayed to later requests with the same idempotency key. */
export type StoredOutcome = Extract<ExecutionRecord, { kind: 'outcome' }>;

/** An intent to send a request, appended before it is sent. */
export type Intent = Extract<ExecutionRecord, { kind: 'intent' }>;

/**
 * Parses a record.
 *
 * @param data - data of a log record
 * @returns the record, or undefined when it is malformed; all daemons skip the same records
 */
export function parseExecutionRecord(data: string): ExecutionRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
