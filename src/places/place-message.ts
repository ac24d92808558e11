import { z } from 'zod';

import { boundedNumber } from '../domain/number-ranges.js';

const name = z.string().max(100);
const incarnation = z.string().max(40);

/** Limits on the entries of one message, so that it fits into a datagram; the rest goes into the next. */
export const MAX_ASKS = 100;
export const MAX_HELD = 500;

/** A request for a place; times are relative to the message, because VMs share no monotonic clock. */
const askSchema = z.object({
  id: boundedNumber,
  team: name,
  /** Priority; 0 is the highest. */
  rank: boundedNumber,
  kvTokens: boundedNumber,
  /** Time until the latest start that meets the target, in milliseconds. */
  startInMs: boundedNumber,
  /** Time until the latest start that is of use, in milliseconds. */
  giveUpInMs: boundedNumber,
  insideRate: z.boolean(),
  /** Engines that the request may not use. */
  excluded: z.array(name).max(64).default([]),
});

/** Sent by a VM whose requests need places, to a granter. */
export const placeAskSchema = z.object({
  kind: z.literal('place-ask'),
  vm: name,
  incarnation,
  host: z.string().max(64),
  zone: name,
  pool: name,
  /** Increases with every message of an incarnation. */
  sequence: boundedNumber,
  /** New requests, and repetitions of requests that wait. */
  asks: z.array(askSchema).max(MAX_ASKS),
  /** Places that are given back, and requests that are withdrawn. */
  done: z.array(boundedNumber),
  /** Places whose engine refused the reservation. */
  rejected: z.array(boundedNumber),
  /** All places that the VM holds at engines of this granter: id, engine and KV cache tokens. */
  held: z
    .array(z.tuple([boundedNumber, name, boundedNumber]))
    .max(MAX_HELD)
    .optional(),
});

/** Id of the request, what became of it, and the engine or a time in milliseconds. */
const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted'), id: boundedNumber, server: name }),
  z.object({ kind: z.literal('refused'), id: boundedNumber, retryAfterMs: boundedNumber }),
  z.object({ kind: z.literal('queued'), id: boundedNumber }),
  /** The VM is no granter of the pool. */
  z.object({ kind: z.literal('declined'), id: boundedNumber }),
]);

/** Sent by a granter to a VM that asked. */
export const placeAnswerSchema = z.object({
  kind: z.literal('place-answer'),
  granter: name,
  pool: name,
  /** Incarnation of the VM that asked. */
  incarnation,
  results: z.array(resultSchema),
});

/** One request for a place in a message. */
export type Ask = z.infer<typeof askSchema>;

/** Message to a granter. */
export type PlaceAsk = z.infer<typeof placeAskSchema>;

/** What became of a request for a place. */
export type AskResult = z.infer<typeof resultSchema>;

/** Message from a granter. */
export type PlaceAnswer = z.infer<typeof placeAnswerSchema>;

/** Message between VMs about places. */
export type PlaceMessage = PlaceAsk | PlaceAnswer;
