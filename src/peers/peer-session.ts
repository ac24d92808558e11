import {
  connect,
  constants,
  type ClientHttp2Session,
  type ClientHttp2Stream,
  type ClientSessionOptions,
  type ClientSessionRequestOptions,
  type OutgoingHttpHeaders,
} from 'node:http2';

import { Code, ConnectError } from '@connectrpc/connect';

/** Time without received data after which a connection is checked with a ping, in milliseconds. */
const PING_IDLE_MS = 500;

/** Interval at which the session checks whether a ping is due, in milliseconds. */
const PING_CHECK_INTERVAL_MS = 100;

/**
 * Maximum wait for the response to a ping, in milliseconds. Short enough that the idle time before
 * a ping and this timeout fit into the deadline of one call, so that the next call uses a new
 * connection.
 */
const PING_TIMEOUT_MS = 300;

/** Maximum wait for a connection, in milliseconds; shorter than the deadline of a call. */
const CONNECT_TIMEOUT_MS = 800;

/** Time after which a connection without traffic is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;

/**
 * Time for which a peer that is not called again counts as unreachable after its connection was
 * lost, in milliseconds; longer than it takes to fence a member after its death.
 */
const UNREACHABLE_MS = 10_000;

/**
 * HTTP/2 connection to one peer or operator listener; it is replaced when it fails. The session
 * manager of connect-node is not used: it removes its error listener from a connection that it
 * replaces, and a later error of that connection then terminated the process.
 */
export class PeerSession {
  private session: ClientHttp2Session | undefined;

  private pendingConnect: Promise<ClientHttp2Session> | undefined;

  private lastReadMs = 0;

  private lostAtMs = -Infinity;

  /** Number of open streams of calls that wait for a response. */
  private openStreams = 0;

  private pingTimer: NodeJS.Timeout | undefined;

  private pendingPing: Promise<boolean> | undefined;

  private constructor(
    /** Base URL of the peer. */
    readonly authority: string,
    private readonly localAddress: string | undefined,
    private readonly streamingPaths: ReadonlySet<string>,
  ) {}

  /**
   * Creates a session that connects with its first request.
   *
   * @param url - base URL of the peer
   * @param localAddress - IP address to connect from; undefined leaves the choice to the system
   * @param streamingPaths - paths of streams that stay open without waiting for a response; they do
   * not cause pings
   * @returns a new session
   */
  static create(
    url: string,
    localAddress?: string,
    streamingPaths: ReadonlySet<string> = new Set(),
  ): PeerSession {
    return new PeerSession(url, localAddress, streamingPaths);
  }

  /** True when a connection has been established at least once. */
  get connected(): boolean {
    return this.lastReadMs > 0;
  }

  /**
   * True when a connection was refused or lost in the last `UNREACHABLE_MS` and no data came since.
   */
  get unreachable(): boolean {
    return performance.now() - this.lostAtMs < UNREACHABLE_MS;
  }

  /**
   * Opens a stream; connects first if needed.
   *
   * @param method - HTTP method
   * @param path - path of the call
   * @param headers - headers of the call
   * @param options - options of the stream
   * @returns the stream; rejects with a ConnectError when the peer cannot be reached
   */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const session = await this.acquire();
    if (!isUsable(session)) throw createUnavailableError('the connection was closed');
    const stream = session.request({ ...headers, ':method': method, ':path': path }, options);
    if (this.streamingPaths.has(path)) return stream;
    this.openStreams += 1;
    stream.once('close', () => {
      this.openStreams -= 1;
    });
    this.startPingTimer();
    return stream;
  }

  /**
   * Records that the connection is alive.
   *
   * @param _stream - stream that received data
   */
  notifyResponseByteRead(_stream: ClientHttp2Stream): void {
    this.recordRead();
  }

  /** Closes the connection and its streams. */
  close(): void {
    clearInterval(this.pingTimer);
    this.session?.destroy(createUnavailableError('the session was closed'));
    this.session = undefined;
    this.pendingConnect = undefined;
  }

  /**
   * Records that data was received. Only received data proves that a peer works, because the
   * operating system accepts connections to a frozen process.
   */
  private recordRead(): void {
    this.lastReadMs = performance.now();
    this.lostAtMs = -Infinity;
  }

  /**
   * Returns a usable connection; one that has received no recent data is checked with a ping first.
   */
  private async acquire(): Promise<ClientHttp2Session> {
    const { session } = this;
    if (session && isUsable(session) && !session.connecting) {
      if (!this.needsPing() || (await this.checkLiveness(session))) return session;
    }
    this.pendingConnect ??= this.connect().finally(() => {
      this.pendingConnect = undefined;
    });
    return this.pendingConnect;
  }

  private connect(): Promise<ClientHttp2Session> {
    const options = { localAddress: this.localAddress } as ClientSessionOptions;
    const session = connect(this.authority, options);
    this.session = session;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => destroySession(session, 'no connection within the connect timeout'),
        CONNECT_TIMEOUT_MS,
      );
      // The listeners are never removed, because an error may occur after the connection was
      // replaced.
      session.on('error', (error) => reject(createUnavailableError(error.message)));
      let expected = false;
      session.once('close', () => {
        clearTimeout(timer);
        if (!expected) this.lostAtMs = performance.now();
        reject(createUnavailableError('the connection was closed'));
      });
      session.once('goaway', () => {
        expected = true;
        session.close();
      });
      session.once('connect', () => {
        clearTimeout(timer);
        this.lastReadMs = performance.now();
        session.setTimeout(IDLE_TIMEOUT_MS, () => {
          expected = true;
          session.close();
        });
        resolve(session);
      });
    });
  }

  private needsPing(): boolean {
    return performance.now() - this.lastReadMs > PING_IDLE_MS;
  }

  /**
   * Checks the connection while calls are open, because on a dead one they would wait until their
   * deadline.
   */
  private startPingTimer(): void {
    if (this.pingTimer) return;
    this.pingTimer = setInterval(() => {
      const { session } = this;
      if (this.openStreams === 0 || !session) {
        clearInterval(this.pingTimer);
        this.pingTimer = undefined;
        return;
      }
      if (isUsable(session) && this.needsPing()) void this.checkLiveness(session);
    }, PING_CHECK_INTERVAL_MS);
    this.pingTimer.unref();
  }

  private checkLiveness(session: ClientHttp2Session): Promise<boolean> {
    this.pendingPing ??= this.pingOnce(session).finally(() => {
      this.pendingPing = undefined;
    });
    return this.pendingPing;
  }

  private async pingOnce(session: ClientHttp2Session): Promise<boolean> {
    const isAlive = await ping(session);
    if (isAlive) this.recordRead();
    else destroySession(session, 'a ping failed or was not answered in time');
    return isAlive;
  }
}

function isUsable(session: ClientHttp2Session): boolean {
  return !session.closed && !session.destroyed;
}

function destroySession(session: ClientHttp2Session, reason: string): void {
  session.destroy(createUnavailableError(reason), constants.NGHTTP2_CANCEL);
}

function createUnavailableError(reason: string): ConnectError {
  return new ConnectError(reason, Code.Unavailable);
}

function ping(session: ClientHttp2Session): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), PING_TIMEOUT_MS);
    const finish = (error: Error | null) => {
      clearTimeout(timer);
      resolve(!error);
    };
    if (!isUsable(session) || !session.ping(finish)) finish(new Error('ping not sent'));
  });
}
