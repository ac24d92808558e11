import type { EngineServer, PlainServer } from '../domain/backend-server.js';
import { Service } from '../kernel/service.js';
import type { Engine } from './engine.js';
import type { PlainService } from './plain-service.js';

/** Reaches backend servers; keeps one client for each address. */
export abstract class Backends extends Service {
  /**
   * Reaches a model engine.
   *
   * @param server - the server
   * @returns its client
   */
  abstract engine(server: EngineServer): Engine;

  /**
   * Reaches a plain server.
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
