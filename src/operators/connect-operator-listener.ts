import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';

import { connectNodeAdapter } from '@connectrpc/connect-node';

import { OperatorService } from '../gen/cuminspar/operator/v1/operator_pb.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import { createTokenCheck } from './bearer-token.js';
import { createOperatorHandlers } from './operator-handlers.js';
import { OperatorListener } from './operator-listener.js';

/** Maximum size of a request, in bytes; a change is far smaller. */
const MAX_REQUEST_BYTES = 1_048_576;

/**
 * Maximum concurrent connections. A command that one daemon serves makes it open at most one
 * connection to each other daemon.
 */
const MAX_CONNECTIONS = 128;

/**
 * Interval between pings, in milliseconds. A connection is closed when a ping is still unanswered at
 * the time of the next one.
 */
const PING_INTERVAL_MS = 5000;

/** Serves cuminsparctl with Connect over HTTP/2 without TLS. */
export class ConnectOperatorListener extends OperatorListener {
  private readonly sessions = new Set<ServerHttp2Session>();

  private readonly server: Http2Server;

  private constructor(
    kernel: Kernel,
    clock: Clock,
    private readonly address: { readonly host: string; readonly port: number },
    tokenSha256: string,
  ) {
    super();
    const handler = connectNodeAdapter({
      routes: (router) => router.service(OperatorService, createOperatorHandlers(kernel, clock)),
      interceptors: [createTokenCheck(tokenSha256)],
      readMaxBytes: MAX_REQUEST_BYTES,
    });
    this.server = createServer(handler);
    this.server.on('session', (session) => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
      session.on('error', () => session.destroy());
      closeWhenUnresponsive(session);
    });
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  /**
   * Creates the listener.
   *
   * @param kernel - locates the other services
   * @param settings - settings of the daemon
   * @param clock - measures waits
   * @returns a new listener
   */
  static create(kernel: Kernel, settings: Settings, clock: Clock): ConnectOperatorListener {
    const { tokenSha256, ...address } = settings.operators;
    return new ConnectOperatorListener(kernel, clock, address, tokenSha256);
  }

  /** Port that the server listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  override start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.address.port, this.address.host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  override stop(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.sessions.forEach((session) => session.destroy());
    });
  }
}

function closeWhenUnresponsive(session: ServerHttp2Session): void {
  let isWaiting = false;
  const timer = setInterval(() => {
    const isSent =
      !isWaiting &&
      session.ping(() => {
        isWaiting = false;
      });
    if (isSent) isWaiting = true;
    else session.destroy();
  }, PING_INTERVAL_MS);
  session.once('close', () => clearInterval(timer));
}
