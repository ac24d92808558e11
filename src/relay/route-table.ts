import type {
  RelayConfiguration,
  RelayPool,
  RelayRoute,
  RelayTeam,
} from './relay-configuration.js';

/** Looks up routes, pools and teams of one configuration. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, RelayRoute>>();

  private readonly pools = new Map<string, RelayPool>();

  private readonly teamsByKey = new Map<string, RelayTeam>();

  /** Priorities that the requests of each pool may have. */
  private readonly priorities = new Map<string, Set<number>>();

  private constructor(readonly configuration: RelayConfiguration) {
    configuration.pools.forEach((pool) => this.pools.set(pool.name, pool));
    configuration.routes.forEach((route) => this.addRoute(route));
    configuration.teams?.forEach((team) =>
      team.keys.forEach((key) => this.teamsByKey.set(key, team)),
    );
  }

  /**
   * Indexes a configuration.
   *
   * @param configuration - an accepted configuration
   * @returns the index
   */
  static create(configuration: RelayConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  /**
   * Finds the route with the longest matching path prefix, with one lookup per path segment.
   *
   * @param host - host without port
   * @param path - path without the query string
   * @returns the route, or undefined
   */
  route(host: string, path: string): RelayRoute | undefined {
    const prefixes = this.routesByHost.get(host.toLowerCase());
    if (!prefixes) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  /**
   * Finds a pool.
   *
   * @param name - name of the pool
   * @returns the pool, or undefined
   */
  pool(name: string): RelayPool | undefined {
    return this.pools.get(name);
  }

  /**
   * Finds the team to which a team key belongs.
   *
   * @param key - the team key sent with a request
   * @returns the team, or undefined
   */
  team(key: string): RelayTeam | undefined {
    return this.teamsByKey.get(key);
  }

  /**
   * Returns whether the requests of a pool may differ in priority.
   *
   * @param pool - name of the pool
   * @returns true when there are several priorities
   */
  hasSeveralPriorities(pool: string): boolean {
    return (this.priorities.get(pool)?.size ?? 0) > 1;
  }

  /** Whether requests must carry a team key, except on open routes. */
  get requiresKeys(): boolean {
    return this.configuration.teams !== undefined;
  }

  private addRoute(route: RelayRoute): void {
    const host = route.host.toLowerCase();
    const prefixes = this.routesByHost.get(host) ?? new Map<string, RelayRoute>();
    prefixes.set(route.pathPrefix, route);
    this.routesByHost.set(host, prefixes);
    const teams = this.configuration.teams ?? [];
    route.pools.forEach(({ pool }) => {
      const known = this.priorities.get(pool) ?? new Set();
      known.add(route.priority);
      teams.forEach(({ priority }) => known.add(priority ?? route.priority));
      this.priorities.set(pool, known);
    });
  }
}

/**
 * Picks one of a route's pools by weight.
 *
 * @param route - the route
 * @param random - number from 0 up to 1
 * @returns name of the selected pool
 */
export function pickPool({ pools }: RelayRoute, random: number): string {
  const total = pools.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random * total;
  for (const { pool, weight } of pools) {
    rest -= weight;
    if (rest < 0) return pool;
  }
  return pools.at(-1)?.pool ?? '';
}
