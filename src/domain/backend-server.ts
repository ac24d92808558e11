import type { Address } from './vm.js';

/** What a model engine does in the path of a request. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** A server that runs requests: a model engine or a plain service. */
export type BackendServer = EngineServer | PlainServer;

interface ServerBase {
  readonly name: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** True when an operator wants the server to get no new work. */
  readonly draining: boolean;
}

/** An adapter that an engine serves. */
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
  /** Requests that the engine decodes at once. */
  readonly decodeSlots: number;
  /** KV blocks that the engine's memory holds. */
  readonly kvBlocks: number;
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Whether the engine checks who gives it an order. */
  readonly checksCommander: boolean;
  readonly adapters?: readonly Adapter[];
}

/** A plain service. */
export interface PlainServer extends ServerBase {
  readonly kind: 'service';
  /** Name by which routes refer to a group of equal servers. */
  readonly pool: string;
}
