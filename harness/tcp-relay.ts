import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '../src/domain/vm.js';
import { CutTracker, type CutRule } from './cut-rule.js';

/** Direction of bytes through a relay. */
export type Direction = 'to-target' | 'to-client';

/** What a relay has passed, and what it does to bytes at present. */
interface Weather {
  bytes: number;
  state: 'healthy' | 'cut' | 'silent';
  readonly delayMs: Record<Direction, number>;
  readonly rules: { rule: CutRule; left: number }[];
}

/** Silent connections stay silent for good when `forGood` is set; new ones then work. */
interface Pair {
  readonly sockets: readonly Socket[];
  /** IP number that the connection came from. */
  readonly source: string;
  /** Bytes that have arrived and have not been passed on. */
  readonly held: Set<Piece>;
  readonly tracker: CutTracker;
  forGood: boolean;
}

/** Bytes on their way; undefined stands for the end of the stream. */
interface Piece {
  readonly bytes: Buffer | undefined;
  readonly dueMs: number;
}

/** Bytes that passed a relay on one connection. */
export interface RecordedConnection {
  /** Bytes in the order of their arrival, by direction. */
  readonly pieces: Readonly<Record<Direction, Buffer[]>>;
}

/** What a relay does besides passing bytes. */
export interface RelayOptions {
  /** True: keeps all bytes of all connections, for tests that search them. */
  readonly record?: boolean;
}

/** How often a silent direction looks whether it may go on. */
const SILENT_CHECK_MS = 10;

/** A TCP relay in the process of the test. */
export interface TcpRelay extends Address {
  /** Resets open connections, and each new one as soon as it is accepted. */
  readonly cut: () => void;
  /** Passes no bytes on open and new connections, until `heal`. */
  readonly silence: () => void;
  /** Makes the open connections silent for good; new connections work. */
  readonly silenceOpen: () => void;
  /** Ends connections at a place of a request or of its answer. */
  readonly cutAt: (rule: CutRule) => void;
  /** Delays bytes in one direction, in milliseconds. */
  readonly delay: (direction: Direction, ms: number) => void;
  /** Resets connections from one IP number, open and new ones, until `unblock`. */
  readonly block: (source: string) => void;
  readonly unblock: (source: string) => void;
  /** Ends `cut`, `silence` and delays. */
  readonly heal: () => void;
  /** Counts the bytes passed in both directions since the relay was opened. */
  readonly countBytes: () => number;
  /** Counts connections that are open now. */
  readonly countOpen: () => number;
  /** Bytes of all connections since the start; empty unless the relay records. */
  readonly recorded: readonly RecordedConnection[];
  /** Tells whether bytes with this text have arrived and have not been passed on. */
  readonly holds: (text: string) => boolean;
  readonly close: () => Promise<void>;
}

const relays = new Set<TcpRelay>();

/**
 * Opens a relay on a free port.
 *
 * @param target - where the bytes go
 * @param options - whether bytes are recorded
 * @returns the relay
 */
export async function createTcpRelay(
  target: Address,
  options: RelayOptions = {},
): Promise<TcpRelay> {
  const weather: Weather = { bytes: 0, state: 'healthy', delayMs: healthyDelays(), rules: [] };
  const pairs = new Set<Pair>();
  const blocked = new Set<string>();
  const recorded: RecordedConnection[] = [];
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const isBlocked = blocked.has(client.remoteAddress ?? '');
    if (weather.state === 'cut' || isBlocked) client.resetAndDestroy();
    else {
      const pair = connectPair(client, target, weather, pairs);
      if (options.record) recorded.push(recordPair(pair));
    }
  });
  const port = await listen(server);
  const resetAll = () => pairs.forEach((pair) => reset(pair));
  const relay: TcpRelay = {
    host: '127.0.0.1',
    port,
    cut: () => {
      weather.state = 'cut';
      resetAll();
    },
    silence: () => {
      weather.state = 'silent';
    },
    silenceOpen: () => pairs.forEach((pair) => Object.assign(pair, { forGood: true })),
    cutAt: (rule) => {
      weather.rules.push({ rule, left: rule.count });
    },
    delay: (direction, ms) => {
      weather.delayMs[direction] = ms;
    },
    block: (source) => {
      blocked.add(source);
      pairs.forEach((pair) => pair.source === source && reset(pair));
    },
    unblock: (source) => blocked.delete(source),
    heal: () => Object.assign(weather, { state: 'healthy', delayMs: healthyDelays() }),
    countBytes: () => weather.bytes,
    countOpen: () => pairs.size,
    recorded,
    holds: (text) =>
      [...pairs].some(({ held }) => [...held].some(({ bytes }) => bytes?.includes(text))),
    close: async () => {
      relays.delete(relay);
      resetAll();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
  relays.add(relay);
  return relay;
}

/**
 * Closes every relay that is open.
 *
 * @returns a promise that resolves when all are closed
 */
export async function closeRelays(): Promise<void> {
  await Promise.all([...relays].map((relay) => relay.close()));
}

function healthyDelays(): Record<Direction, number> {
  return { 'to-target': 0, 'to-client': 0 };
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });
}

function connectPair(client: Socket, target: Address, weather: Weather, pairs: Set<Pair>): Pair {
  const upstream = connect({ ...target, allowHalfOpen: true });
  const source = client.remoteAddress ?? '';
  const pair: Pair = {
    sockets: [client, upstream],
    source,
    held: new Set(),
    tracker: CutTracker.create((head) => takeRule(weather, head)),
    forGood: false,
  };
  pairs.add(pair);
  for (const socket of pair.sockets) {
    socket.setNoDelay(true);
    socket.on('error', () => reset(pair));
    socket.on('close', (hadError) => {
      if (hadError || socket.errored) reset(pair);
      if (pair.sockets.every((one) => one.destroyed)) pairs.delete(pair);
    });
  }
  pump(client, upstream, 'to-target', weather, pair);
  pump(upstream, client, 'to-client', weather, pair);
  return pair;
}

function recordPair({ sockets: [client, upstream] }: Pair): RecordedConnection {
  const pieces: Record<Direction, Buffer[]> = { 'to-target': [], 'to-client': [] };
  client?.on('data', (bytes: Buffer) => pieces['to-target'].push(bytes));
  upstream?.on('data', (bytes: Buffer) => pieces['to-client'].push(bytes));
  return { pieces };
}

function reset({ sockets }: Pair): void {
  sockets.filter((socket) => !socket.destroyed).forEach((socket) => socket.resetAndDestroy());
}

/** Passes bytes in one direction, in order. */
function pump(from: Socket, to: Socket, direction: Direction, weather: Weather, pair: Pair): void {
  const queue: Piece[] = [];
  let passing = false;
  const passAll = async () => {
    if (passing) return;
    passing = true;
    for (let piece = queue.shift(); piece; piece = queue.shift()) {
      await waitForTurn(piece, weather, pair, to);
      Object.assign(weather, { bytes: weather.bytes + (piece.bytes?.length ?? 0) });
      pair.held.delete(piece);
      if (piece.bytes) pass(piece.bytes, to, direction, pair);
      else to.end();
    }
    passing = false;
  };
  const add = (bytes: Buffer | undefined) => {
    const piece = { bytes, dueMs: performance.now() + weather.delayMs[direction] };
    queue.push(piece);
    pair.held.add(piece);
    void passAll();
  };
  from.on('data', add);
  from.on('end', () => add(undefined));
}

function takeRule({ rules }: Weather, head: string): CutRule | undefined {
  const found = rules.find(({ rule, left }) => left > 0 && head.includes(rule.request));
  if (found) found.left -= 1;
  return found?.rule;
}

function pass(bytes: Buffer, to: Socket, direction: Direction, pair: Pair): void {
  const isRequest = direction === 'to-target';
  const { passed, cut } = isRequest
    ? pair.tracker.inspectRequest(bytes)
    : pair.tracker.inspectAnswer(bytes);
  if (!cut) to.write(passed);
  // What passes must arrive before the connection ends, which a reset does not ensure.
  else to.end(passed, () => pair.sockets.forEach((socket) => socket.destroy()));
}

async function waitForTurn(piece: Piece, weather: Weather, pair: Pair, to: Socket): Promise<void> {
  const waitMs = piece.dueMs - performance.now();
  if (waitMs > 0) await delay(waitMs);
  const isHeld = () => !to.destroyed && (pair.forGood || weather.state === 'silent');
  while (isHeld()) await delay(SILENT_CHECK_MS);
}
