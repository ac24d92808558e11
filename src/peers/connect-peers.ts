import { once } from 'node:events';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';

import { Code, ConnectError, createClient, type ServiceImpl } from '@connectrpc/connect';
import {
  compressionGzip,
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';

import { formatAddress, type Address } from '../domain/vm.js';
import { PeerService } from '../gen/cuminspar/peer/v1/peer_pb.js';
import { assertInvariant } from '../kernel/invariant.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import { PeerSession } from './peer-session.js';
import { type PeerClient, type PeerHandlers, Peers } from './peers.js';

/**
 * Minimum size of a compressed message, in bytes; batches of decisions and snapshots are larger.
 */
const COMPRESS_MIN_BYTES = 1024;

/** Default deadline of a call, in milliseconds. */
export const PEER_DEADLINE_MS = 1000;

/**
 * Requests carry at most a batch of decisions or of ids of withdrawn keys; responses may carry a full
 * snapshot.
 */
const MAX_REQUEST_BYTES = 4 * 1024 * 1024;
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/**
 * Time after which the server closes a connection without traffic, in milliseconds. The client
 * closes it after 60 s, unless it has lost the connection without noticing.
 */
const SESSION_IDLE_TIMEOUT_MS = 90_000;

/** Paths of streaming calls; their streams stay open between messages. */
const STREAMING_PATHS: ReadonlySet<string> = new Set(
  PeerService.methods
    .filter(({ methodKind }) => methodKind !== 'unary')
    .map(({ name }) => `/${PeerService.typeName}/${name}`),
);

type Handler = (request: unknown, context: unknown) => unknown;

interface Connection {
  readonly client: PeerClient;
  readonly session: PeerSession;
}

/** Serves and makes peer calls with Connect over HTTP/2. */
export class ConnectPeers extends Peers {
  private readonly handlers = new Map<string, Handler>();

  private readonly connections = new Map<string, Connection>();

  private readonly sessions = new Set<ServerHttp2Session>();

  private readonly server: Http2Server;

  private constructor(private readonly address: Address) {
    super();
    this.server = createServer(
      connectNodeAdapter({
        routes: (router) => {
          router.service(PeerService, this.createDispatch());
        },
        readMaxBytes: MAX_REQUEST_BYTES,
        writeMaxBytes: MAX_RESPONSE_BYTES,
      }),
    );
    this.server.on('session', (session) => this.track(session));
  }

  /**
   * Creates the service; it listens once it has been started.
   *
   * @param _kernel - unused; all services are created with the same parameters
   * @param settings - supplies the address to listen on
   * @returns a new service
   */
  static create(_kernel: Kernel, settings: Pick<Settings, 'peers'>): ConnectPeers {
    return new ConnectPeers(settings.peers);
  }

  override async start(): Promise<void> {
    this.server.listen(this.address.port, this.address.host);
    await once(this.server, 'listening');
  }

  override async stop(): Promise<void> {
    this.connections.forEach(({ session }) => session.close());
    this.connections.clear();
    if (!this.server.listening) return;
    const closed = once(this.server, 'close');
    this.server.close();
    this.sessions.forEach((session) => session.destroy());
    await closed;
  }

  override handle(handlers: PeerHandlers): void {
    Object.entries(handlers).forEach(([name, handler]) => {
      assertInvariant(!this.handlers.has(name), `peer call ${name} already has a handler`);
      this.handlers.set(name, handler as Handler);
    });
  }

  override client(address: Address): PeerClient {
    const url = `http://${formatAddress(address)}`;
    const existing = this.connections.get(url);
    if (existing) return existing.client;
    const connection = connect(url, this.address.host);
    this.connections.set(url, connection);
    return connection.client;
  }

  override unreachable(address: Address): boolean {
    return this.connections.get(`http://${formatAddress(address)}`)?.session.unreachable ?? false;
  }

  private track(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.on('close', () => this.sessions.delete(session));
    session.on('error', () => session.destroy());
    session.setTimeout(SESSION_IDLE_TIMEOUT_MS, () => session.destroy());
  }

  private createDispatch(): ServiceImpl<typeof PeerService> {
    const entries = PeerService.methods.map(({ localName }) => [
      localName,
      (request: unknown, context: unknown) => this.dispatch(localName, request, context),
    ]);
    return Object.fromEntries(entries) as ServiceImpl<typeof PeerService>;
  }

  private dispatch(name: string, request: unknown, context: unknown): unknown {
    const handler = this.handlers.get(name);
    if (!handler) throw new ConnectError(`peer call ${name} has no handler`, Code.Unimplemented);
    return handler(request, context);
  }
}

function connect(url: string, localAddress: string): Connection {
  const session = PeerSession.create(url, localAddress, STREAMING_PATHS);
  const transport = createConnectTransport({
    baseUrl: url,
    httpVersion: '2',
    sessionManager: session,
    sendCompression: compressionGzip,
    compressMinBytes: COMPRESS_MIN_BYTES,
    defaultTimeoutMs: PEER_DEADLINE_MS,
    readMaxBytes: MAX_RESPONSE_BYTES,
    writeMaxBytes: MAX_REQUEST_BYTES,
  });
  return { client: createClient(PeerService, transport), session };
}
