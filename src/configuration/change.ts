import { z } from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const name = z
  .string()
  .regex(NAME_PATTERN, 'lower-case letters, digits, ".", "_", "-"; at most 63');
const address = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(65_535),
});

export const teamSchema = z.strictObject({
  name,
  rate: z.number().positive(),
  burst: z.number().positive(),
  weight: z.number().positive().default(1),
});

export const keySchema = z.strictObject({
  keyId: z.string().regex(/^[a-z0-9]{4,32}$/, '4 to 32 lower-case letters and digits'),
  team: name,
  secretHash: z.string().regex(/^[0-9a-f]{64}$/, 'SHA-256 as 64 hexadecimal digits'),
});

export const presetSchema = z.strictObject({
  name,
  rateFactor: z.number().positive().default(1),
  queueMs: z.int().min(0).default(1000),
  firstTokenMs: z.int().positive().default(330),
  betweenTokensMs: z.int().positive().default(78),
  affinityTokens: z.int().min(0).default(4096),
  reservedSlots: z.int().min(0).default(0),
  maintenance: z.boolean().default(false),
});

export const modelSchema = z.strictObject({
  name,
  bytesPerToken: z.number().positive().default(4),
  kvBytesPerToken: z.number().positive().default(131_072),
  kvBlockTokens: z.int().positive().default(2048),
  maxOutputTokens: z.int().positive().default(2048),
  version: name.optional(),
});

export const routeSchema = z.strictObject({
  path: z.string().regex(/^\/[A-Za-z0-9/._-]*$/, 'a path that starts with "/"'),
  pool: name,
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
    .min(1)
    .default(['GET']),
  open: z.boolean().default(false),
  repeatable: z.boolean(),
  timeoutMs: z.int().positive().default(5000),
  tokens: z.int().min(0).default(1),
});

const serverBase = {
  name,
  address,
  availabilityZone: name,
  draining: z.boolean().default(false),
};

const adapter = z.strictObject({ name, version: name.optional() });

export const serverSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    ...serverBase,
    kind: z.literal('engine'),
    role: z.enum(['prefill', 'decode', 'both']),
    models: z.array(name).min(1),
    decodeSlots: z.int().min(0).default(20),
    kvBlocks: z.int().min(0).default(256),
    checksFencing: z.boolean().default(false),
    checksCommander: z.boolean().default(false),
    adapters: z.array(adapter).optional(),
  }),
  z.strictObject({ ...serverBase, kind: z.literal('service'), pool: name }),
]);

/** Schema of all changes that an operator can make. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put-team'), team: teamSchema }),
  z.strictObject({ kind: z.literal('remove-team'), name }),
  z.strictObject({ kind: z.literal('give-key'), key: keySchema }),
  z.strictObject({ kind: z.literal('withdraw-key'), keyId: keySchema.shape.keyId }),
  z.strictObject({ kind: z.literal('put-preset'), preset: presetSchema }),
  z.strictObject({ kind: z.literal('switch-preset'), name }),
  z.strictObject({ kind: z.literal('put-model'), model: modelSchema }),
  z.strictObject({ kind: z.literal('put-route'), route: routeSchema }),
  z.strictObject({ kind: z.literal('remove-route'), path: routeSchema.shape.path }),
  z.strictObject({ kind: z.literal('put-server'), server: serverSchema }),
  z.strictObject({ kind: z.literal('remove-server'), name }),
  z.strictObject({ kind: z.literal('drain-server'), name }),
  z.strictObject({ kind: z.literal('return-server'), name }),
]);

/** One change of the configuration. */
export type Change = z.infer<typeof changeSchema>;

/**
 * Returns the subject that a change affects. Two changes to the same subject conflict when they are
 * based on the same version.
 *
 * @param change - the change
 * @returns the subject, for example `team/oval-crew`
 */
export function subjectOf(change: Change): string {
  switch (change.kind) {
    case 'put-team':
      return `team/${change.team.name}`;
    case 'remove-team':
      return `team/${change.name}`;
    case 'give-key':
      return `key/${change.key.keyId}`;
    case 'withdraw-key':
      return `key/${change.keyId}`;
    case 'put-preset':
      return `preset/${change.preset.name}`;
    case 'switch-preset':
      return 'preset-in-force';
    case 'put-model':
      return `model/${change.model.name}`;
    case 'put-route':
      return `route${change.route.path}`;
    case 'remove-route':
      return `route${change.path}`;
    case 'put-server':
      return `server/${change.server.name}`;
    default:
      return `server/${change.name}`;
  }
}
