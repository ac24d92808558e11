import { z } from 'zod';

import { Refusal } from '../domain/refusal.js';
import type { Model } from '../domain/route.js';
import { fail, succeed, type Outcome } from '../kernel/outcome.js';

/** Maximum tokens of an answer when the request sets no limit. */
const DEFAULT_MAX_TOKENS = 256;

const textPart = z.object({ type: z.literal('text'), text: z.string() });

const common = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  n: z.literal(1).optional(),
};

const chatSchema = z.object({
  ...common,
  messages: z
    .array(
      z.object({
        role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
        content: z.union([z.string(), z.array(textPart)]),
      }),
    )
    .min(1),
});

const textSchema = z.object({ ...common, prompt: z.string().min(1) });

/** The two kinds of completion that callers can request. */
export type CompletionKind = 'chat' | 'text';

/** A validated completion request. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
}

/**
 * Validates the body of a completion request. Fields that the router does not use are ignored,
 * because OpenAI-style clients send many of them.
 *
 * @param kind - chat or text
 * @param body - the body as received
 * @returns the request, or a refusal that names the field
 */
export function parseCompletion(
  kind: CompletionKind,
  body: Buffer,
): Outcome<CompletionBody, Refusal> {
  let json: unknown;
  try {
    json = JSON.parse(body.toString('utf8'));
  } catch {
    return fail(Refusal.create('request_malformed', 'the body is not valid JSON'));
  }
  const parsed = kind === 'chat' ? chatSchema.safeParse(json) : textSchema.safeParse(json);
  if (!parsed.success) return fail(refuseField(parsed.error));
  const { data } = parsed;
  return succeed({
    model: data.model,
    prompt: 'messages' in data ? joinMessages(data.messages) : data.prompt,
    maxTokens: data.max_completion_tokens ?? data.max_tokens,
    stream: data.stream,
  });
}

/**
 * Determines the maximum tokens of an answer.
 *
 * @param requested - limit that the request sets, if any
 * @param model - the model
 * @returns the maximum, or a refusal when the request exceeds the limit of the model
 */
export function chooseMaxTokens(
  requested: number | undefined,
  model: Model,
): Outcome<number, Refusal> {
  if (requested === undefined) return succeed(Math.min(DEFAULT_MAX_TOKENS, model.maxOutputTokens));
  if (requested <= model.maxOutputTokens) return succeed(requested);
  return fail(
    Refusal.create('request_malformed', `max_tokens: at most ${model.maxOutputTokens} is allowed`),
  );
}

/**
 * Estimates the number of tokens of a prompt from its bytes.
 *
 * @param prompt - text of the prompt
 * @param model - the model, which sets the bytes per token
 * @returns the estimate, rounded up
 */
export function estimatePromptTokens(prompt: string, model: Model): number {
  return Math.ceil(Buffer.byteLength(prompt) / model.bytesPerToken);
}

function joinMessages(messages: z.infer<typeof chatSchema>['messages']): string {
  return messages
    .map(({ role, content }) => {
      const text =
        typeof content === 'string' ? content : content.map((part) => part.text).join('');
      return `${role}: ${text}`;
    })
    .join('\n');
}

function refuseField(error: z.ZodError): Refusal {
  const [issue] = error.issues;
  const field = issue?.path.join('.') ?? '';
  return Refusal.create('request_malformed', `${field || 'body'}: ${issue?.message ?? 'invalid'}`);
}
