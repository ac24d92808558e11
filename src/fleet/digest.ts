import { z } from 'zod';

const counter = z.number().finite();

/** Shape of a digest on the wire between daemons. */
const digestSchema = z.object({
  vm: z.string().max(100),
  incarnation: z.string().max(40),
  sequence: counter,
  host: z.string().max(64),
  callers: z.string().max(80),
  zone: z.string().max(100),
  ready: z.boolean(),
  draining: z.boolean(),
  configuration: counter,
  catalog: counter,
  storeAgeMs: counter,
  /** Requests that wait for a place and can still be on time. */
  punctual: counter,
  spent: z.record(z.string(), z.tuple([counter, counter])),
  loads: z.array(z.tuple([z.string(), counter, counter, counter])),
  avoided: z.array(z.tuple([z.string(), counter])),
  leavers: z.array(z.tuple([z.string(), counter])),
  hosts: z.array(z.string().max(64)),
});

/**
 * State that a VM tells the others several times a second. Every digest stands for itself, so a lost
 * one needs no repeat.
 */
export type Digest = z.infer<typeof digestSchema>;

/**
 * Encodes a digest.
 *
 * @param digest - state of this VM
 * @returns a datagram
 */
export function encodeDigest(digest: Digest): Buffer {
  return Buffer.from(JSON.stringify(digest));
}

/**
 * Decodes a datagram.
 *
 * @param datagram - bytes of any origin
 * @returns the digest, or undefined when it is not one
 */
export function decodeDigest(datagram: Buffer): Digest | undefined {
  try {
    const parsed = digestSchema.safeParse(JSON.parse(datagram.toString('utf8')));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
