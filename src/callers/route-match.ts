import type { Route } from '../domain/route.js';

/**
 * Finds the route of a path: the one with the longest prefix that ends at a segment boundary.
 *
 * @param routes - routes by path prefix
 * @param path - path without query
 * @returns the route, or undefined when none matches
 */
export function matchRoute(routes: ReadonlyMap<string, Route>, path: string): Route | undefined {
  let prefix = path;
  while (prefix.length > 0) {
    const route = routes.get(prefix) ?? routes.get(`${prefix}/`);
    if (route) return route;
    prefix = prefix.slice(0, prefix.lastIndexOf('/'));
  }
  return routes.get('/');
}

/**
 * Returns whether every server interprets a path in the same way. Dot segments, empty segments and
 * encoded separators could make a server resolve a resource outside the matched route.
 *
 * @param path - path without query
 * @returns true when the path may be matched to a route
 */
export function isUnambiguousPath(path: string): boolean {
  return path.startsWith('/') && !/\/\.{1,2}(?:\/|$)|\/\/|%2e|%2f|%5c|\\/i.test(path);
}
