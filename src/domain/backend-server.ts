import type { Address } from './vm.js';

/** Stages of a model request that an engine runs. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** A server that runs requests: a model engine or a plain service. */
export type BackendServer = EngineServer | PlainServer;

interface ServerBase {
  readonly name: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** True when an operator has asked that the server gets no new work. */
  readonly draining: boolean;
}

/** A model adapter that an engine serves. */
export interface Adapter {
  readonly name: string;
  /** Version of the weights; undefined leaves the choice to the engine. */
  readonly version?: string;
}

/** A model engine. */
export interface EngineServer extends ServerBase {
  readonly kind: 'engine';
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** Maximum number of requests that the engine decodes concurrently. */
  readonly decodeSlots: number;
  /** Capacity of the engine's KV cache, in blocks. */
  readonly kvBlocks: number;
  /** Whether the engine rejects an order with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Whether the engine checks which commander sends an order. */
  readonly checksCommander: boolean;
  readonly adapters?: readonly Adapter[];
}

/** A plain service. */
export interface PlainServer extends ServerBase {
  readonly kind: 'service';
  /** Name by which routes refer to a group of interchangeable servers. */
  readonly pool: string;
}
