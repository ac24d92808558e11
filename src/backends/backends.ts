import type { EngineServer, PlainServer } from '../domain/backend-server.js';
import { Service } from '../kernel/service.js';
import type { Engine } from './engine.js';
import type { PlainService } from './plain-service.js';

/** Provides clients of backend servers, one per server name and address. */
export abstract class Backends extends Service {
  /**
   * Returns the client of a model engine.
   *
   * @param server - the engine
   * @returns its client
   */
  abstract engine(server: EngineServer): Engine;

  /**
   * Returns the client of a plain server.
   *
   * @param server - the server
   * @returns its client
   */
  abstract service(server: PlainServer): PlainService;
}

declare module '../kernel/service.js' {
  interface Services {
    backends: Backends;
  }
}
