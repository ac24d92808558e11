/** What may be repeated on a route. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A group of equal servers with its share of a route's requests. */
export interface PoolShare {
  readonly pool: string;
  readonly weight: number;
}

/** A host and path prefix that leads to pools of servers. */
export interface RelayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** True when a broken stream may continue on another server after its last whole event. */
  readonly resumable: boolean;
  readonly pools: readonly PoolShare[];
  /** Most servers that one request may run on. */
  readonly attempts: number;
  /** Longest time until the final answer, in milliseconds; 0 for no limit. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that callers expect, in milliseconds. */
  readonly targetMs: number;
  /** Time after which callers leave a stream that sends nothing, in milliseconds. */
  readonly patienceMs: number;
  /** Rank of the route, 0 first. */
  readonly priority: number;
  /** True when no key is needed. */
  readonly open: boolean;
}

/** Facts about a pool of model engines. */
export interface EnginePool {
  /** Requests that an engine decodes at once. */
  readonly slots: number;
  /** Tokens that an engine's KV cache holds. */
  readonly kvTokens: number;
  /** Longest life of a reservation, in milliseconds. */
  readonly reservationMs: number;
  /** Life of a prefill result that nobody fetches, in milliseconds. */
  readonly prefillLifeMs: number;
  /** Time that a change of role takes an engine, in milliseconds. */
  readonly roleChangeMs: number;
}

/** A pool of servers. */
export interface RelayPool {
  readonly name: string;
  /** Connections that one server accepts from all VMs together; 0 for no limit. */
  readonly mostConnections: number;
  /** Undefined for plain services. */
  readonly engine: EnginePool | undefined;
}

/** A customer with its keys and its rate over the whole fleet; a rate of 0 means no limit. */
export interface RelayTeam {
  readonly name: string;
  readonly keys: readonly string[];
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens charged for a request that states none. */
  readonly plainTokens: number;
  /** Rank that goes before that of the route; undefined for the route's. */
  readonly priority: number | undefined;
}

/** What callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which the headers must arrive, in milliseconds. */
  readonly headersMs: number;
  /** Time for which a connection may stay idle, in milliseconds. */
  readonly idleMs: number;
}

/** An accepted configuration. */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly RelayRoute[];
  readonly pools: readonly RelayPool[];
  /** Undefined when requests need no key. */
  readonly teams: readonly RelayTeam[] | undefined;
  readonly limits: CallerLimits;
}
