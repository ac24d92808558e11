/** A path prefix that leads to a pool of plain servers. */
export interface Route {
  /** Path prefix, for example `/services/yard/orders`; the longest match wins. */
  readonly path: string;
  readonly pool: string;
  /** HTTP methods that the route accepts. */
  readonly methods: readonly string[];
  /** True when no key is needed. */
  readonly open: boolean;
  /** False when a request may run at most once; then an idempotency key is required. */
  readonly repeatable: boolean;
  /** Longest time for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Tokens charged to the team for each request. */
  readonly tokens: number;
}

/** A model that engines serve. */
export interface Model {
  readonly name: string;
  /** Bytes of UTF-8 text counted as one token when a prompt is measured before it runs. */
  readonly bytesPerToken: number;
  /** Size of the KV cache of one token, in bytes. */
  readonly kvBytesPerToken: number;
  /** Tokens in one KV block. */
  readonly kvBlockTokens: number;
  /** Longest answer, in tokens. */
  readonly maxOutputTokens: number;
  /** Version of the weights that engines load; undefined leaves the choice to the engine. */
  readonly version?: string;
}

/** A set of values that an operator puts in force as a whole. */
export interface Preset {
  readonly name: string;
  /** Multiplies every team's rate and burst. */
  readonly rateFactor: number;
  /** Longest wait for tokens and capacity before a refusal, in milliseconds. */
  readonly queueMs: number;
  /** Target for the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Target for the time between two tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** Most prompt tokens of load for which a cached prefix outweighs a less loaded server. */
  readonly affinityTokens: number;
  /** Decode slots that a team short of tokens leaves to the teams inside their rates. */
  readonly reservedSlots: number;
  /** True: requests on routes that need a key are refused with `maintenance`. */
  readonly maintenance: boolean;
}
