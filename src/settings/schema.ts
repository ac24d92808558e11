import { z } from 'zod';

const ip = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(1).max(65_535);
const listener = z.strictObject({ host: ip, port });
const url = z.url({ protocol: /^http$/ });
const ms = z.int().positive();

/** Schema of the daemon's settings file; docs/settings.md explains each field. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    region: z.string().min(1),
    availabilityZone: z.string().min(1),
  }),
  callers: listener,
  peers: listener.extend({ advertised: listener.optional() }),
  operators: listener.extend({ tokenSha256: z.string().regex(/^[0-9a-f]{64}$/) }),
  platform: z.strictObject({
    log: z.strictObject({ urls: z.array(url).min(1), timeoutMs: ms.default(2000) }),
    vmList: z.strictObject({ url, pollMs: ms.default(1000) }),
    weightStore: z.strictObject({ url }).optional(),
  }),
  statsd: z.strictObject({ host: ip, port }).optional(),
  logs: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
  traces: z.strictObject({ file: z.string().min(1).optional() }).prefault({}),
  limits: z
    .strictObject({
      headerBytes: z.int().positive().default(16_384),
      bodyBytes: z.int().positive().default(1_048_576),
      bodyMs: ms.default(10_000),
      callerConnections: z.int().positive().default(10_000),
      callerBufferBytes: z.int().positive().default(1_048_576),
    })
    .prefault({}),
  timeouts: z
    .strictObject({
      connectMs: ms.default(1000),
      engineMs: ms.default(2000),
      prefillMs: ms.default(10_000),
      transferMs: ms.default(3000),
      betweenTokensMs: ms.default(2000),
      shutdownMs: ms.default(30_000),
    })
    .prefault({}),
  rates: z.strictObject({ homeCount: z.int().min(1).max(8).default(2) }).prefault({}),
  idempotency: z
    .strictObject({
      partitions: z.int().min(1).max(1024).default(8),
      windowMs: ms.default(3_600_000),
      intentMs: ms.default(2000),
    })
    .prefault({}),
  entryAddresses: z
    .strictObject({ validForMs: ms.default(10_000), count: z.int().min(1).default(3) })
    .prefault({}),
  decisions: z.strictObject({ copiesPerSecond: z.number().min(0).default(10) }).prefault({}),
  snapshots: z.strictObject({ everyMs: ms.default(600_000) }).prefault({}),
});

/** The daemon's settings after validation. */
export type Settings = z.infer<typeof settingsSchema>;
