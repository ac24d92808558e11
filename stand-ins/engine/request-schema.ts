import { z } from 'zod';

const attemptFields = {
  requestId: z.string().min(1),
  attemptId: z.string().min(1),
  owner: z.object({ vm: z.string(), incarnation: z.string() }),
  team: z.string().optional(),
};

const tokens = z.int().nonnegative();

/** Fields of every call that concerns an attempt. */
export const attemptSchema = z.object(attemptFields);

export const reservationSchema = z.object({ ...attemptFields, model: z.string(), blocks: tokens });

export const prefillSchema = z.object({
  ...attemptFields,
  model: z.string(),
  prompt: z.string(),
  priority: z.number(),
});

export const transferSchema = z.object({
  ...attemptFields,
  reservationId: z.string(),
  prefillId: z.string(),
  source: z.string(),
});

export const decodeSchema = z.object({
  ...attemptFields,
  reservationId: z.string(),
  maxTokens: z.int().positive(),
  fromIndex: tokens,
});

export const orderSchema = z.object({
  kind: z.enum(['load-model', 'load-adapter', 'change-role']),
  value: z.string().min(1),
  fencingNumber: z.number(),
  commander: z.string(),
});

/** Identifies the attempt, its owner and its team. */
export type AttemptFields = z.infer<typeof attemptSchema>;

/** An order to load a model or an adapter, or to change the role. */
export type Order = z.infer<typeof orderSchema>;
