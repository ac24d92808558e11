import type { EngineServer } from '../../src/domain/backend-server.js';

/** Builds an engine of role `both` for the model `planner` at a loopback port. */
export function createEngineServer(name: string, port = 1, availabilityZone = 'a'): EngineServer {
  return {
    kind: 'engine',
    name,
    address: { host: '127.0.0.1', port },
    availabilityZone,
    draining: false,
    role: 'both',
    models: ['planner'],
    decodeSlots: 20,
    kvBlocks: 256,
    checksFencing: false,
    checksCommander: false,
  };
}
