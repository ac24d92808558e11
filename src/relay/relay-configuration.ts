import type { ColdRate } from './cold-servers.js';

/** Retry semantics of a route. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A pool of interchangeable servers with its share of a route's requests. */
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
  /** True when a broken stream may resume on another server after its last complete event. */
  readonly resumable: boolean;
  readonly pools: readonly PoolShare[];
  /** Maximum number of servers that one request may run on. */
  readonly attempts: number;
  /** Time limit for the final answer, in milliseconds; 0 for no limit. */
  readonly timeoutMs: number;
  /** Expected time to the answer, or to the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** Time after which callers abandon a stream that sends nothing, in milliseconds. */
  readonly patienceMs: number;
  /** Longest pause between events with which a stream is on time, in milliseconds; 0 for no goal. */
  readonly pauseGoalMs: number;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** True when no team key is needed. */
  readonly open: boolean;
}

/** Properties of a pool of model engines. */
export interface EnginePool {
  /** Requests that an engine decodes concurrently. */
  readonly slots: number;
  /** Capacity of an engine's KV cache, in tokens. */
  readonly kvTokens: number;
  /** Maximum lifetime of a reservation, in milliseconds. */
  readonly reservationMs: number;
  /** Lifetime of a prefill result that is not fetched, in milliseconds. */
  readonly prefillLifeMs: number;
  /** Time that an engine needs to change its role, in milliseconds. */
  readonly roleChangeMs: number;
}

export interface RelayPool {
  readonly name: string;
  /** Maximum number of connections that one server accepts from all VMs together; 0 for no limit. */
  readonly mostConnections: number;
  /** Undefined for plain services. */
  readonly engine: EnginePool | undefined;
  /** What its servers take while they are cold; undefined when they never are. */
  readonly cold?: ColdRate | undefined;
}

/** A customer with its team keys and its rate over the whole fleet; a rate of 0 means no limit. */
export interface RelayTeam {
  readonly name: string;
  readonly keys: readonly string[];
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens charged for a request that does not state its size. */
  readonly plainTokens: number;
  /** Priority that overrides the route's; undefined to use the route's. */
  readonly priority: number | undefined;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which the headers must arrive, in milliseconds. */
  readonly headersMs: number;
  /** Time for which a connection may be idle, in milliseconds. */
  readonly idleMs: number;
}

/** An accepted configuration. */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly RelayRoute[];
  readonly pools: readonly RelayPool[];
  /** Undefined when requests need no team key. */
  readonly teams: readonly RelayTeam[] | undefined;
  readonly limits: CallerLimits;
}
