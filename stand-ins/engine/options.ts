import { parseCommonOptions, type CommonOptions } from '../shared/start-stand-in.js';

/** Phases that an engine serves. */
export type Role = 'prefill' | 'decode' | 'both';

/** Order in which waiting prefills run; one runs at a time. */
export type PrefillOrder = 'priority' | 'arrival';

/** Size, speed and behaviour of an engine. */
export interface EngineOptions extends CommonOptions {
  readonly role: Role;
  readonly models: readonly string[];
  readonly slots: number;
  readonly blocks: number;
  readonly blockTokens: number;
  readonly bytesPerToken: number;
  readonly prefillTokensPerSecond: number;
  readonly prefillOrder: PrefillOrder;
  readonly prefillSlowdown: number;
  readonly prefillResultMs: number;
  readonly tokenMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerSecond: number;
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: number;
  readonly cacheEventGapEvery: number;
  readonly loadLagMs: number;
  readonly reservationMs: number;
  readonly checksFencing: boolean;
}

/**
 * Parses the command line of an engine.
 *
 * @returns the options
 */
export async function parseEngineOptions(): Promise<EngineOptions> {
  const options = await parseCommonOptions('model-engine')
    .options({
      role: { choices: ['prefill', 'decode', 'both'] as const, default: 'both' as const },
      models: {
        type: 'string',
        array: true,
        default: [],
        describe: 'models served; all models if none is given',
      },
      slots: { type: 'number', default: 20, describe: 'decode slots' },
      blocks: { type: 'number', default: 400, describe: 'KV blocks' },
      'block-tokens': { type: 'number', default: 2048, describe: 'tokens in a KV block' },
      'bytes-per-token': { type: 'number', default: 4, describe: 'bytes of prompt in a token' },
      'prefill-tokens-per-second': { type: 'number', default: 8000 },
      'prefill-order': {
        choices: ['priority', 'arrival'] as const,
        default: 'priority' as const,
        describe: 'order of waiting prefills; one runs at a time',
      },
      'prefill-slowdown': {
        type: 'number',
        default: 1,
        describe: 'factor on the time between tokens while a prefill runs on the same engine',
      },
      'prefill-result-ms': {
        type: 'number',
        default: 800,
        describe: 'lifetime of a prefill result',
      },
      'token-ms': { type: 'number', default: 20, describe: 'time between tokens of an answer' },
      'kv-bytes-per-token': { type: 'number', default: 256 },
      'link-bytes-per-second': { type: 'number', default: 50_000_000 },
      'cache-blocks': { type: 'number', default: 64, describe: 'KV blocks in the prefix cache' },
      'cache-event-delay-ms': { type: 'number', default: 200 },
      'cache-event-gap-every': {
        type: 'number',
        default: 10,
        describe: 'omits every Nth cache event; 0 omits none',
      },
      'load-lag-ms': { type: 'number', default: 0, describe: 'age of the reported load' },
      'reservation-ms': {
        type: 'number',
        default: 5000,
        describe: 'lifetime of an unused reservation',
      },
      'checks-fencing': { type: 'boolean', default: true },
    })
    .parseAsync();
  return { ...options, models: options.models as string[] };
}
