import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '../src/domain/vm.js';
import { CutTracker, type CutRule } from './cut-rule.js';

/** Direction of bytes through a relay. */
export type Direction = 'to-target' | 'to-client';

/** Byte count of a relay, and the faults that it injects at present. */
interface RelayState {
  forwardedBytes: number;
  mode: 'healthy' | 'cut' | 'silent';
  readonly delayMs: Record<Direction, number>;
  readonly rules: { rule: CutRule; remaining: number }[];
}

/** A client connection and its upstream connection; `silencedForGood` affects only this pair. */
interface ConnectionPair {
  readonly sockets: readonly Socket[];
  /** IP number of the client. */
  readonly source: string;
  /** Chunks that have been received but not forwarded. */
  readonly pending: Set<Chunk>;
  readonly tracker: CutTracker;
  silencedForGood: boolean;
}

/** Received bytes to forward; undefined stands for the end of the stream. */
interface Chunk {
  readonly bytes: Buffer | undefined;
  readonly dueMs: number;
}

/** Bytes that a relay received on one connection. */
export interface RecordedConnection {
  /** Received chunks in order of arrival, by direction. */
  readonly chunks: Readonly<Record<Direction, Buffer[]>>;
}

/** Options of a relay. */
export interface RelayOptions {
  /** Whether all bytes of all connections are recorded, for tests that search them. */
  readonly record?: boolean;
}

/** Interval at which a silenced direction checks whether it may continue. */
const SILENCE_POLL_INTERVAL_MS = 10;

/** A TCP relay in the test process that injects network faults. */
export interface TcpRelay extends Address {
  /** Resets open connections, and each new one as soon as it is accepted. */
  readonly cut: () => void;
  /** Stops forwarding on open and new connections, until `heal`. */
  readonly silence: () => void;
  /** Stops forwarding on the open connections for good; new connections work. */
  readonly silenceOpenConnections: () => void;
  /** Closes connections at a position of a request or of its answer. */
  readonly cutAt: (rule: CutRule) => void;
  /** Delays bytes in one direction, in milliseconds. */
  readonly delay: (direction: Direction, ms: number) => void;
  /** Resets connections from one IP number, open and new ones, until `unblock`. */
  readonly block: (source: string) => void;
  readonly unblock: (source: string) => void;
  /** Ends `cut`, `silence` and delays. */
  readonly heal: () => void;
  /** Counts the bytes forwarded in both directions since the relay was opened. */
  readonly countBytes: () => number;
  /** Counts the open connections. */
  readonly countOpenConnections: () => number;
  /** Bytes of all connections since the relay was opened; empty unless it records. */
  readonly recorded: readonly RecordedConnection[];
  /** Checks whether a chunk that contains the text has been received but not forwarded. */
  readonly hasPending: (text: string) => boolean;
  readonly close: () => Promise<void>;
}

const relays = new Set<TcpRelay>();

/**
 * Opens a relay on a free port.
 *
 * @param target - address to which bytes are forwarded
 * @param options - whether bytes are recorded
 * @returns the relay
 */
export async function createTcpRelay(
  target: Address,
  options: RelayOptions = {},
): Promise<TcpRelay> {
  const state: RelayState = {
    forwardedBytes: 0,
    mode: 'healthy',
    delayMs: zeroDelays(),
    rules: [],
  };
  const pairs = new Set<ConnectionPair>();
  const blocked = new Set<string>();
  const recorded: RecordedConnection[] = [];
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const isBlocked = blocked.has(client.remoteAddress ?? '');
    if (state.mode === 'cut' || isBlocked) client.resetAndDestroy();
    else {
      const pair = connectPair(client, target, state, pairs);
      if (options.record) recorded.push(recordPair(pair));
    }
  });
  const port = await listen(server);
  const resetAll = () => pairs.forEach((pair) => reset(pair));
  const relay: TcpRelay = {
    host: '127.0.0.1',
    port,
    cut: () => {
      state.mode = 'cut';
      resetAll();
    },
    silence: () => {
      state.mode = 'silent';
    },
    silenceOpenConnections: () =>
      pairs.forEach((pair) => Object.assign(pair, { silencedForGood: true })),
    cutAt: (rule) => {
      state.rules.push({ rule, remaining: rule.count });
    },
    delay: (direction, ms) => {
      state.delayMs[direction] = ms;
    },
    block: (source) => {
      blocked.add(source);
      pairs.forEach((pair) => pair.source === source && reset(pair));
    },
    unblock: (source) => blocked.delete(source),
    heal: () => Object.assign(state, { mode: 'healthy', delayMs: zeroDelays() }),
    countBytes: () => state.forwardedBytes,
    countOpenConnections: () => pairs.size,
    recorded,
    hasPending: (text) =>
      [...pairs].some(({ pending }) => [...pending].some(({ bytes }) => bytes?.includes(text))),
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
 * Closes all open relays.
 *
 * @returns a promise that resolves when all are closed
 */
export async function closeRelays(): Promise<void> {
  await Promise.all([...relays].map((relay) => relay.close()));
}

function zeroDelays(): Record<Direction, number> {
  return { 'to-target': 0, 'to-client': 0 };
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });
}

function connectPair(
  client: Socket,
  target: Address,
  state: RelayState,
  pairs: Set<ConnectionPair>,
): ConnectionPair {
  const upstream = connect({ ...target, allowHalfOpen: true });
  const source = client.remoteAddress ?? '';
  const pair: ConnectionPair = {
    sockets: [client, upstream],
    source,
    pending: new Set(),
    tracker: CutTracker.create((head) => consumeRule(state, head)),
    silencedForGood: false,
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
  pump(client, upstream, 'to-target', state, pair);
  pump(upstream, client, 'to-client', state, pair);
  return pair;
}

function recordPair({ sockets: [client, upstream] }: ConnectionPair): RecordedConnection {
  const chunks: Record<Direction, Buffer[]> = { 'to-target': [], 'to-client': [] };
  client?.on('data', (bytes: Buffer) => chunks['to-target'].push(bytes));
  upstream?.on('data', (bytes: Buffer) => chunks['to-client'].push(bytes));
  return { chunks };
}

function reset({ sockets }: ConnectionPair): void {
  sockets.filter((socket) => !socket.destroyed).forEach((socket) => socket.resetAndDestroy());
}

/** Forwards bytes in one direction, in order. */
function pump(
  from: Socket,
  to: Socket,
  direction: Direction,
  state: RelayState,
  pair: ConnectionPair,
): void {
  const queue: Chunk[] = [];
  let forwarding = false;
  const forwardAll = async () => {
    if (forwarding) return;
    forwarding = true;
    for (let chunk = queue.shift(); chunk; chunk = queue.shift()) {
      await waitUntilDue(chunk, state, pair, to);
      Object.assign(state, { forwardedBytes: state.forwardedBytes + (chunk.bytes?.length ?? 0) });
      pair.pending.delete(chunk);
      if (chunk.bytes) forward(chunk.bytes, to, direction, pair);
      else to.end();
    }
    forwarding = false;
  };
  const add = (bytes: Buffer | undefined) => {
    const chunk = { bytes, dueMs: performance.now() + state.delayMs[direction] };
    queue.push(chunk);
    pair.pending.add(chunk);
    void forwardAll();
  };
  from.on('data', add);
  // Node reports a reset that arrives before the data has been read as an ordinary end.
  from.on('end', () => (from.remoteAddress === undefined ? reset(pair) : add(undefined)));
}

function consumeRule({ rules }: RelayState, head: string): CutRule | undefined {
  const found = rules.find(({ rule, remaining }) => remaining > 0 && head.includes(rule.request));
  if (found) found.remaining -= 1;
  return found?.rule;
}

function forward(bytes: Buffer, to: Socket, direction: Direction, pair: ConnectionPair): void {
  const isRequest = direction === 'to-target';
  const { forwarded, cut } = isRequest
    ? pair.tracker.inspectRequest(bytes)
    : pair.tracker.inspectAnswer(bytes);
  if (!cut) to.write(forwarded);
  // The forwarded bytes must arrive before the connection closes, which a reset does not ensure.
  else to.end(forwarded, () => pair.sockets.forEach((socket) => socket.destroy()));
}

async function waitUntilDue(
  chunk: Chunk,
  state: RelayState,
  pair: ConnectionPair,
  to: Socket,
): Promise<void> {
  const waitMs = chunk.dueMs - performance.now();
  if (waitMs > 0) await delay(waitMs);
  const isSilenced = () => !to.destroyed && (pair.silencedForGood || state.mode === 'silent');
  while (isSilenced()) await delay(SILENCE_POLL_INTERVAL_MS);
}
