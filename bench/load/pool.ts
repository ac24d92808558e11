/** Speeds and sizes of the model servers in a benchmark. */
export interface Pool {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly slots: number;
  readonly tokenMs: number;
  readonly prefillTokensPerSecond: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerSecond: number;
  readonly prefillResultMs: number;
  readonly kvBlocks: number;
  readonly blockTokens: number;
  readonly loadLagMs: number;
}

/** Latency targets of a request. */
export interface Targets {
  readonly firstTokenMs: number;
  /** Bound on the 95th percentile of the gaps between the tokens of an answer. */
  readonly betweenTokensMs: number;
}

/**
 * The pool of both deployments. Time is not scaled, so the targets of the design apply unchanged. KV
 * cache and links are scaled by 1/512. A mean prefill of about 1,650 tokens takes as long as an engine
 * needs for about 45 output tokens (20 slots, one token each in 30 ms).
 */
export const POOL: Pool = {
  prefillEngines: 4,
  decodeEngines: 4,
  slots: 20,
  tokenMs: 30,
  prefillTokensPerSecond: 25_000,
  kvBytesPerToken: 256,
  linkBytesPerSecond: 35_000_000,
  prefillResultMs: 800,
  kvBlocks: 40,
  blockTokens: 2048,
  loadLagMs: 50,
};

export const TARGETS: Targets = { firstTokenMs: 330, betweenTokensMs: 78 };
