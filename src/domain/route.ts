/** Maps a path prefix to a pool of plain servers. */
export interface Route {
  /** Path prefix, for example `/services/yard/orders`; the longest match wins. */
  readonly path: string;
  readonly pool: string;
  /** HTTP methods that the route accepts. */
  readonly methods: readonly string[];
  /** True when no team key is needed. */
  readonly open: boolean;
  /** False when a request may run at most once; then an idempotency key is required. */
  readonly repeatable: boolean;
  /** Time-out for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  /** Tokens charged to the team for each request. */
  readonly tokens: number;
}

/** A model that engines serve. */
export interface Model {
  readonly name: string;
  /** Bytes of UTF-8 text that count as one token when the length of a prompt is estimated in advance. */
  readonly bytesPerToken: number;
  /** Size of one token in the KV cache, in bytes. */
  readonly kvBytesPerToken: number;
  /** Tokens in one KV block. */
  readonly kvBlockTokens: number;
  /** Maximum length of a response, in tokens. */
  readonly maxOutputTokens: number;
  /** Version of the weights that engines load; undefined leaves the choice to the engine. */
  readonly version?: string;
}

/** A set of operating parameters that an operator puts in force as a whole. */
export interface Preset {
  readonly name: string;
  /** Multiplies every team's rate and burst. */
  readonly rateFactor: number;
  /** Maximum wait for tokens and capacity before a request is refused, in milliseconds. */
  readonly queueMs: number;
  /** Target for the time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Target for the time between two tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /**
   * A server with a cached prefix is preferred while its queue exceeds the shortest by at most this
   * number of prompt tokens.
   */
  readonly affinityTokens: number;
  /** Decode slots that a team beyond its rate leaves free for the teams within their rates. */
  readonly reservedSlots: number;
  /** When true, requests on routes that need a team key are refused with `maintenance`. */
  readonly maintenance: boolean;
}
