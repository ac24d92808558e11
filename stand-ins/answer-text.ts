import { createHash } from 'node:crypto';

const STOP_AFTER_PATTERN = /stop-after=(\d+)/;

/**
 * Computes the text of one token of an answer. It is a pure function of the model, the prompt and
 * the index, so a test can check that an answer is complete and belongs to its own request.
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
 * Computes the complete text of an answer.
 *
 * @param model - name of the model
 * @param prompt - the prompt
 * @param maxTokens - maximum length of the answer, in tokens
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
 * Computes where an answer ends and why. The answer to a prompt that contains `stop-after=N` ends
 * after N tokens with the reason `stop`, unless `maxTokens` is smaller.
 *
 * @param prompt - the prompt
 * @param maxTokens - maximum length of the answer, in tokens
 * @returns the number of tokens and the end reason that the end marker carries
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
 * Hashes the model and the prompt, so that a long prompt is hashed once and not for each token.
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
