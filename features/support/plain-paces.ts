import { scoreRendezvous } from '../../src/kernel/rendezvous.js';
import type { PlainPace } from './plain-simulation.js';

const SERVERS = 5;

/** Length of the intervals in which a server with noise is slow or not, in milliseconds. */
const NOISE_MS = 600;

function isNoisy(server: number, nowMs: number): boolean {
  const interval = String(Math.floor(nowMs / NOISE_MS));
  return scoreRendezvous(`server ${server}`, interval) % 100 < 15;
}

/** Speeds of the servers of a simulated pool by name. */
export const PLAIN_PACES = {
  'equal speed': { servers: SERVERS, slowness: () => 1 },
  'two speeds': { servers: SERVERS, slowness: (server) => (server < 2 ? 2 : 1) },
  'one early slowdown': {
    servers: SERVERS,
    slowness: (server, running) => (server === 0 && running > 3 ? 2.5 : 1),
  },
  'one slow spell': {
    servers: SERVERS,
    slowness: (server, _running, nowMs) =>
      server === 0 && nowMs >= 6000 && nowMs < 12_000 ? 3 : 1,
  },
  'one restart': {
    servers: SERVERS,
    slowness: (server, _running, nowMs) =>
      server === 0 && nowMs >= 8000 && nowMs < 11_000 ? 3 : 1,
    restart: { server: 0, atMs: 8000 },
  },
  noise: {
    servers: SERVERS,
    slowness: (server, _running, nowMs) => (isNoisy(server, nowMs) ? 2.5 : 1),
  },
} satisfies Record<string, PlainPace>;

/** Name of a pool whose servers differ in speed. */
export type PlainPaceName = keyof typeof PLAIN_PACES;
