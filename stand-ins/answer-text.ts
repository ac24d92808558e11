import { createHash } from 'node:crypto';

const STOP_AFTER_PATTERN = /stop-after=(\d+)/;

/**
 * Computes the text of one token of an answer. It depends on the model, the prompt and the index
 * only, so a test can check that an answer is whole and belongs to its own request.
 *
 * @param model - name of the model
 * @param prompt - the prompt
 * @param index - index of the token, from 0
 * @returns the text, for example `w3-9f0c ` with a trailing space
 */
export function computeAnswerToken(model: string, prompt: string, index: number): string {
  return computeTokenFromHash(hashPrompt(model, prompt), index);
}

/**
 * Computes a whole answer.
 *
 * @param model - name of the model
 * @param prompt - the prompt
 * @param maxTokens - longest answer, in tokens
 * @returns the text of all tokens
 */
export function computeAnswer(model: string, prompt: string, maxTokens: number): string {
  const promptHash = hashPrompt(model, prompt);
  const { tokens } = computeAnswerLength(prompt, maxTokens);
  return Array.from({ length: tokens }, (_, index) => computeTokenFromHash(promptHash, index)).join(
    '',
  );
}

/**
 * Computes how an answer ends. A prompt that contains `stop-after=N` ends by itself after N tokens.
 *
 * @param prompt - the prompt
 * @param maxTokens - longest answer, in tokens
 * @returns the number of tokens and the reason in the end marker
 */
export function computeAnswerLength(
  prompt: string,
  maxTokens: number,
): { tokens: number; end: 'stop' | 'length' } {
  const stopAfter = Number(STOP_AFTER_PATTERN.exec(prompt)?.[1] ?? Infinity);
  if (stopAfter <= maxTokens) return { tokens: stopAfter, end: 'stop' };
  return { tokens: maxTokens, end: 'length' };
}

/**
 * Hashes what an answer depends on, so that long prompts are hashed once.
 *
 * @param model - name of the model
 * @param prompt - the prompt
 * @returns hexadecimal SHA-256
 */
export function hashPrompt(model: string, prompt: string): string {
  return createHash('sha256').update(`${model}\n${prompt}`).digest('hex');
}

/**
 * Computes the text of one token from the hash of its prompt.
 *
 * @param promptHash - result of `hashPrompt`
 * @param index - index of the token, from 0
 * @returns the text
 */
export function computeTokenFromHash(promptHash: string, index: number): string {
  const hash = createHash('sha256').update(`${promptHash} ${index}`).digest('hex');
  return `w${index}-${hash.slice(0, 4)} `;
}
