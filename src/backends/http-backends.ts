import type { BackendServer, EngineServer, PlainServer } from '../domain/backend-server.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Settings } from '../settings/schema.js';
import { Backends } from './backends.js';
import type { Engine } from './engine.js';
import { HttpConnections } from './http-connections.js';
import { HttpEngine } from './http-engine.js';
import { HttpPlainService } from './http-plain-service.js';
import type { PlainService } from './plain-service.js';

const ENGINE_IDLE_TIMEOUT_MS = 4000;

// A call that must not be repeated should not be sent on a connection that the server is about to
// close, so connections to plain servers are kept open only between calls in quick succession.
const PLAIN_IDLE_TIMEOUT_MS = 500;

interface CachedClient<Client> {
  readonly client: Client;
  readonly connections: HttpConnections;
}

/** Caches one HTTP client per backend server and address. */
export class HttpBackends extends Backends {
  private readonly engines = new Map<string, CachedClient<Engine>>();

  private readonly services = new Map<string, CachedClient<PlainService>>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
  ) {
    super();
  }

  /**
   * Creates the service with no connections.
   *
   * @param kernel - locates the other services
   * @param settings - supplies the timeouts
   * @returns a new service
   */
  static create(kernel: Kernel, settings: Settings): HttpBackends {
    return new HttpBackends(kernel, settings);
  }

  override async start(): Promise<void> {
    const changes = this.kernel.find('configuration').changes();
    void changes.forEach((state) => this.retain([...state.servers.values()]));
  }

  override async stop(): Promise<void> {
    const entries = [...this.engines.values(), ...this.services.values()];
    this.engines.clear();
    this.services.clear();
    await Promise.all(entries.map((entry) => entry.connections.destroy()));
  }

  override engine(server: EngineServer): Engine {
    const cached = this.engines.get(keyOf(server));
    if (cached) return cached.client;
    const connections = this.connect(server, ENGINE_IDLE_TIMEOUT_MS);
    const client = this.createEngine(server, connections);
    this.engines.set(keyOf(server), { client, connections });
    return client;
  }

  override service(server: PlainServer): PlainService {
    const cached = this.services.get(keyOf(server));
    if (cached) return cached.client;
    const connections = this.connect(server, PLAIN_IDLE_TIMEOUT_MS);
    const client = HttpPlainService.create(connections, {
      onDraining: () => this.kernel.find('routing').observeDraining(server.name),
      onFailure: (refused) => this.kernel.find('routing').observeFailure(server.name, refused),
    });
    this.services.set(keyOf(server), { client, connections });
    return client;
  }

  private createEngine(server: EngineServer, connections: HttpConnections): Engine {
    return HttpEngine.create(connections, this.settings.timeouts.engineMs, {
      onLoad: (load) => this.kernel.find('routing').observeLoad(server.name, load),
      onFailure: (refused) => this.kernel.find('routing').observeFailure(server.name, refused),
      onDropped: (kind) => this.kernel.find('metrics').increment('backends.dropped', { kind }),
    });
  }

  private connect(server: BackendServer, idleMs: number): HttpConnections {
    const { connectMs } = this.settings.timeouts;
    return HttpConnections.create(server.address, { connectMs, idleMs });
  }

  private retain(servers: readonly BackendServer[]): void {
    const kept = new Set(servers.map(keyOf));
    evictExcept(this.engines, kept);
    evictExcept(this.services, kept);
  }
}

function keyOf(server: BackendServer): string {
  return `${server.name}@${server.address.host}:${server.address.port}`;
}

function evictExcept(entries: Map<string, CachedClient<unknown>>, kept: ReadonlySet<string>): void {
  for (const [key, entry] of entries) {
    if (kept.has(key)) continue;
    entries.delete(key);
    void entry.connections.close();
  }
}
