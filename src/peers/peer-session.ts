import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionOptions,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { Code, ConnectError } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';

/** A ping and its time-out fit into one deadline, so that the next call uses a new connection. */
const PING_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 300;

/**
 * Connection to one peer. The manager takes its error listener off a connection that it replaces
 * while the error of that connection, for example after GOAWAY, may still be on its way; without
 * any listener such an error would stop the process.
 */
export class PeerSession {
  private readonly guarded = new WeakSet<ClientHttp2Session>();

  private constructor(private readonly manager: Http2SessionManager) {}

  /**
   * Creates a session that connects with its first request.
   *
   * @param url - base address of the peer
   * @param localAddress - IP number to connect from
   * @returns a new session
   */
  static create(url: string, localAddress: string): PeerSession {
    return new PeerSession(
      new Http2SessionManager(
        url,
        { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS },
        { localAddress } as ClientSessionOptions,
      ),
    );
  }

  /** Base address of the peer. */
  get authority(): string {
    return this.manager.authority;
  }

  /**
   * Opens a stream; connects first where that is needed.
   *
   * @param method - HTTP method
   * @param path - path of the call
   * @param headers - headers of the call
   * @param options - options of the stream
   * @returns the stream
   */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = await this.manager.request(method, path, headers, options);
    if (stream.session) this.guard(stream.session as ClientHttp2Session);
    return stream;
  }

  /**
   * Tells the manager that the connection is alive.
   *
   * @param stream - stream that received data
   */
  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.manager.notifyResponseByteRead(stream);
  }

  /** Ends an attempt to connect that hangs; pings watch over open connections only. */
  abortConnecting(): void {
    if (this.manager.state() === 'connecting') this.abort();
  }

  /** Ends the connection and its streams. */
  close(): void {
    this.abort();
  }

  /**
   * With its own reason the manager would be closed without an error, and a call that waits for the
   * connection at that moment would loop without end instead of failing.
   */
  private abort(): void {
    this.manager.abort(new ConnectError('the connection was given up', Code.Unavailable));
  }

  private guard(session: ClientHttp2Session): void {
    if (this.guarded.has(session)) return;
    this.guarded.add(session);
    session.on('error', () => undefined);
  }
}
