import assert from 'node:assert/strict';

import { world } from '@cucumber/cucumber';

import { createModelRequest } from '../../harness/model-fixtures.js';
import { registerFake } from '../../harness/module-fakes.js';
import type { BackendServer, EngineServer } from '../../src/domain/backend-server.js';
import type { ModelRequest } from '../../src/domain/request.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { succeed } from '../../src/kernel/outcome.js';
import type { Assignment, EngineLoad } from '../../src/routing/routing.js';
import { SubsetRouting } from '../../src/routing/subset-routing.js';
import { createFakeServices, type FakeServices } from './fake-services.js';

/** Routing with fake services, and the calls that the fakes recorded. */
export interface RoutingState {
  fakes: FakeServices;
  routing: SubsetRouting;
  clock: ManualClock;
  polls: string[];
  silent: Set<string>;
  first?: string;
}

export const scenario = world as unknown as { routing?: RoutingState };

export function getState(): RoutingState {
  assert.ok(scenario.routing);
  return scenario.routing;
}

/** Builds the load report of an idle engine. */
export function createLoad(changes: Partial<EngineLoad> = {}): EngineLoad {
  const load = { slotsFree: 20, blocksFree: 256, queuedPrefillTokens: 0, level: 0 };
  return { ...load, draining: false, incarnation: 'run1', ...changes };
}

export function createRequest(prompt = 'prompt'): ModelRequest {
  return createModelRequest({ prompt, promptTokens: 10, maxTokens: 10 });
}

export function createAssignment(changes: Partial<Assignment>): Assignment {
  return {
    server: 'e1',
    attemptId: 'a0',
    fingerprint: 'print1',
    phase: 'decode',
    blocks: 1,
    promptTokens: 10,
    suspect: false,
    ...changes,
  };
}

/** Starts routing with the servers. Polls are recorded; servers in `silent` never answer them. */
export async function createRouting(servers: readonly BackendServer[]): Promise<RoutingState> {
  const fakes = createFakeServices(servers);
  const clock = ManualClock.create(1000);
  const routing = SubsetRouting.create(fakes.kernel, fakes.settings, clock);
  const polls: string[] = [];
  const silent = new Set<string>();
  fakes.kernel.register('routing', routing);
  registerFake(fakes.kernel, 'backends', {
    engine: ({ name }: EngineServer) => ({
      load: async () => {
        polls.push(`load ${name}`);
        if (silent.has(name)) await new Promise(() => {});
        return succeed(createLoad());
      },
      cacheEvents: async () => {
        polls.push(`cache ${name}`);
        return succeed([]);
      },
    }),
  });
  await fakes.kernel.start();
  await settle();
  clock.advance(1);
  return { fakes, routing, clock, polls, silent };
}

/** Waits until pending promises and due timers have run. */
export async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, 2);
  });
}
