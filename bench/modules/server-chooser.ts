import type { EngineServer } from '../../src/domain/backend-server.js';
import type { ModelRequest } from '../../src/domain/request.js';
import { rankByRendezvous } from '../../src/kernel/rendezvous.js';
import type { SubsetRouting } from '../../src/routing/subset-routing.js';
import type { Arrival } from '../load/workload.js';
import type { FakeEngine } from './fake-engine.js';
import type { ChoiceKind } from './policies.js';

type Phase = 'prefill' | 'decode';

/** Chooses servers as the present policy does, or by one simple rule. */
export class ServerChooser {
  private roundRobinIndex = 0;

  private constructor(
    private readonly kind: ChoiceKind,
    private readonly routing: SubsetRouting,
    private readonly engines: readonly FakeEngine[],
    private readonly random: () => number,
  ) {}

  /**
   * Creates a chooser.
   *
   * @param kind - the rule
   * @param routing - the present policy
   * @param engines - all engines
   * @param random - random numbers from 0 up to, not including, 1
   * @returns a new chooser
   */
  static create(
    kind: ChoiceKind,
    routing: SubsetRouting,
    engines: readonly FakeEngine[],
    random: () => number,
  ): ServerChooser {
    return new ServerChooser(kind, routing, engines, random);
  }

  /**
   * Chooses an engine.
   *
   * @param phase - what it is for
   * @param request - the request
   * @param arrival - the request as generated
   * @param excluded - engines not to choose
   * @returns an engine, or undefined when there is none
   */
  choose(
    phase: Phase,
    request: ModelRequest,
    arrival: Arrival,
    excluded: ReadonlySet<string>,
    blocks: number,
  ): EngineServer | undefined {
    if (this.kind === 'present') {
      if (phase === 'prefill') return this.routing.choosePrefill(request, excluded, false);
      return this.routing.chooseDecode(request, blocks, excluded, false);
    }
    const usable = this.engines.filter(
      ({ server }) => server.role === phase && !excluded.has(server.name),
    );
    return this.pick(phase, usable, arrival)?.server;
  }

  private pick(
    phase: Phase,
    engines: readonly FakeEngine[],
    arrival: Arrival,
  ): FakeEngine | undefined {
    const pickRandom = () => engines[Math.floor(this.random() * engines.length)];
    switch (this.kind) {
      case 'round-robin':
        this.roundRobinIndex += 1;
        return engines[this.roundRobinIndex % engines.length];
      case 'least-reported':
        return engines.toSorted((one, other) => compareLoads(phase, one, other))[0];
      case 'prefix': {
        if (phase === 'decode' || !arrival.prefix) return pickRandom();
        return rankByRendezvous(arrival.prefix, engines, ({ server }) => server.name)[0];
      }
      default:
        return pickRandom();
    }
  }
}

function compareLoads(phase: Phase, one: FakeEngine, other: FakeEngine): number {
  const left = one.readLoad();
  const right = other.readLoad();
  if (phase === 'prefill') return left.queuedPrefillTokens - right.queuedPrefillTokens;
  return right.slotsFree - left.slotsFree;
}
