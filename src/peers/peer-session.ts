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

/** Time without data after which a connection is checked by a ping, in milliseconds. */
const PING_INTERVAL_MS = 500;

/** How often it is looked whether a ping is due, in milliseconds. */
const WATCH_MS = 100;

/** A ping and its time-out fit into one deadline, so that the next call uses a new connection. */
const PING_TIMEOUT_MS = 300;

/** Longest wait for a connection, in milliseconds; shorter than the deadline of a call. */
const CONNECT_TIMEOUT_MS = 800;

/** Time after which a connection without traffic is closed, in milliseconds. */
const IDLE_MS = 60_000;

/**
 * Time for which a lost connection counts against a peer that is not called again, in milliseconds;
 * longer than a member needs to be fenced after its death.
 */
const UNREACHABLE_MS = 10_000;

/**
 * Connection to one listener for peers or operators, replaced when it fails. The session manager of
 * connect-node is not used: it takes its error listener off a connection that it replaces, and an
 * error of that connection which came later stopped the process.
 */
export class PeerSession {
  private session: ClientHttp2Session | undefined;

  private ready: Promise<ClientHttp2Session> | undefined;

  private lastReadMs = 0;

  private lostMs = -Infinity;

  /** Streams of calls that wait for an answer. */
  private openStreams = 0;

  private watch: NodeJS.Timeout | undefined;

  private checking: Promise<boolean> | undefined;

  private constructor(
    /** Base address of the peer. */
    readonly authority: string,
    private readonly localAddress: string | undefined,
    private readonly standingPaths: ReadonlySet<string>,
  ) {}

  /**
   * Creates a session that connects with its first request.
   *
   * @param url - base address of the peer
   * @param localAddress - IP number to connect from; undefined leaves the choice to the system
   * @param standingPaths - paths of streams that stay open without waiting for an answer; they cause
   * no pings
   * @returns a new session
   */
  static create(
    url: string,
    localAddress?: string,
    standingPaths: ReadonlySet<string> = new Set(),
  ): PeerSession {
    return new PeerSession(url, localAddress, standingPaths);
  }

  /** True once a connection has existed. */
  get connected(): boolean {
    return this.lastReadMs > 0;
  }

  /** True while the newest attempt to reach the peer has failed, and not long ago. */
  get unreachable(): boolean {
    return performance.now() - this.lostMs < UNREACHABLE_MS;
  }

  /**
   * Opens a stream; connects first where that is needed.
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
    const session = await this.obtain();
    if (!isUsable(session)) throw createUnavailable('the connection was closed');
    const stream = session.request({ ...headers, ':method': method, ':path': path }, options);
    if (this.standingPaths.has(path)) return stream;
    this.openStreams += 1;
    stream.once('close', () => {
      this.openStreams -= 1;
    });
    this.watchPings();
    return stream;
  }

  /**
   * Notes that the connection is alive.
   *
   * @param _stream - stream that received data
   */
  notifyResponseByteRead(_stream: ClientHttp2Stream): void {
    this.noteRead();
  }

  /** Ends the connection and its streams. */
  close(): void {
    clearInterval(this.watch);
    this.session?.destroy(createUnavailable('the connection was given up'));
    this.session = undefined;
    this.ready = undefined;
  }

  /** Only data proves that a peer works: the kernel accepts connections to a frozen process. */
  private noteRead(): void {
    this.lastReadMs = performance.now();
    this.lostMs = -Infinity;
  }

  /** Returns a connection that works as far as is known; a quiet one is checked by a ping first. */
  private async obtain(): Promise<ClientHttp2Session> {
    const { session } = this;
    if (session && isUsable(session) && !session.connecting) {
      if (!this.isQuiet() || (await this.check(session))) return session;
    }
    this.ready ??= this.connect().finally(() => {
      this.ready = undefined;
    });
    return this.ready;
  }

  private connect(): Promise<ClientHttp2Session> {
    const options = { localAddress: this.localAddress } as ClientSessionOptions;
    const session = connect(this.authority, options);
    this.session = session;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => retire(session, 'no connection in time'), CONNECT_TIMEOUT_MS);
      // The listeners stay for good, since an error may come after the connection was replaced.
      session.on('error', (error) => reject(createUnavailable(error.message)));
      let expected = false;
      session.once('close', () => {
        clearTimeout(timer);
        if (!expected) this.lostMs = performance.now();
        reject(createUnavailable('the connection was closed'));
      });
      session.once('goaway', () => {
        expected = true;
        session.close();
      });
      session.once('connect', () => {
        clearTimeout(timer);
        this.lastReadMs = performance.now();
        session.setTimeout(IDLE_MS, () => {
          expected = true;
          session.close();
        });
        resolve(session);
      });
    });
  }

  private isQuiet(): boolean {
    return performance.now() - this.lastReadMs > PING_INTERVAL_MS;
  }

  /** Checks the connection while calls are open, because they would wait for their deadline. */
  private watchPings(): void {
    if (this.watch) return;
    this.watch = setInterval(() => {
      const { session } = this;
      if (this.openStreams === 0 || !session) {
        clearInterval(this.watch);
        this.watch = undefined;
        return;
      }
      if (isUsable(session) && this.isQuiet()) void this.check(session);
    }, WATCH_MS);
    this.watch.unref();
  }

  private check(session: ClientHttp2Session): Promise<boolean> {
    this.checking ??= this.checkOnce(session).finally(() => {
      this.checking = undefined;
    });
    return this.checking;
  }

  private async checkOnce(session: ClientHttp2Session): Promise<boolean> {
    const isAlive = await ping(session);
    if (isAlive) this.noteRead();
    else retire(session, 'no answer to a ping');
    return isAlive;
  }
}

function isUsable(session: ClientHttp2Session): boolean {
  return !session.closed && !session.destroyed;
}

function retire(session: ClientHttp2Session, reason: string): void {
  session.destroy(createUnavailable(reason), constants.NGHTTP2_CANCEL);
}

function createUnavailable(reason: string): ConnectError {
  return new ConnectError(reason, Code.Unavailable);
}

function ping(session: ClientHttp2Session): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), PING_TIMEOUT_MS);
    const finish = (error: Error | null) => {
      clearTimeout(timer);
      resolve(!error);
    };
    if (!isUsable(session) || !session.ping(finish)) finish(new Error('not sent'));
  });
}
