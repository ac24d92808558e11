import type { Route } from '../domain/route.js';

/**
 * Finds the route of a path: the longest prefix that ends at a segment.
 *
 * @param routes - routes by path prefix
 * @param path - path without query
 * @returns the route, or undefined
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
 * Tells whether a path means the same to every server. Dot segments, empty segments and encoded
 * separators could lead a server to another resource than the matched route stands for.
 *
 * @param path - path without query
 * @returns true when the path may be matched
 */
export function isUnambiguousPath(path: string): boolean {
  return path.startsWith('/') && !/\/\.{1,2}(?:\/|$)|\/\/|%2e|%2f|%5c|\\/i.test(path);
}
