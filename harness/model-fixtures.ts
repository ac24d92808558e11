import type { EngineServer } from '../src/domain/backend-server.js';
import type { ModelRequest } from '../src/domain/request.js';

/**
 * Creates an engine with the role `both` and the model `planner` at a loopback address.
 *
 * @param name - name of the server
 * @param fields - fields that replace the defaults
 * @returns the engine
 */
export function createEngineServer(name: string, fields: Partial<EngineServer> = {}): EngineServer {
  return {
    ...{ kind: 'engine', name, address: { host: '127.0.0.1', port: 1 }, availabilityZone: 'a' },
    ...{ draining: false, role: 'both', models: ['planner'], decodeSlots: 20, kvBlocks: 256 },
    ...{ checksFencing: false, checksCommander: false },
    ...fields,
  };
}

/**
 * Creates a request for the model `planner`.
 *
 * @param fields - fields that replace the defaults
 * @returns the request
 */
export function createModelRequest(fields: Partial<ModelRequest> = {}): ModelRequest {
  return {
    ...{ requestId: 'q1', team: 'oval', keyId: undefined, model: 'planner', prompt: 'a prompt' },
    ...{ promptTokens: 8, maxTokens: 8, fingerprint: 'print1', arrivedMs: 0 },
    traceparent: undefined,
    ...fields,
  };
}
