import { waitFor } from '../../harness/wait-for.js';
import { daemonOf } from '../../harness/find-daemon.js';
import { VISITOR_TEAM, type EngineOptions, type GuaranteeWorld } from './guarantees-fleet.js';
import { listAttempts } from './guarantees-records.js';

/** Phase that a request has reached when its client or its daemon goes away. */
export type HeldPhase = 'queued' | 'reserving' | 'in prefill' | 'in transfer' | 'in decode';

/** Settings that keep a request in a phase. */
interface PhasePlan {
  readonly engine: EngineOptions;
  readonly promptTokens: number;
  /** Phase recorded by the engines; undefined if no engine knows the request. */
  readonly recorded: string | undefined;
}

/**
 * Concurrent streams of the other team; in the phase `queued` they occupy every slot of the only
 * engine.
 */
export const CREW_STREAMS = 4;

const PHASE_PLANS: Readonly<Record<HeldPhase, PhasePlan>> = {
  queued: { engine: { slots: CREW_STREAMS }, promptTokens: 10, recorded: undefined },
  reserving: { engine: {}, promptTokens: 10, recorded: 'reserved' },
  'in prefill': {
    engine: { 'prefill-tokens-per-second': 500 },
    ...{ promptTokens: 20_000, recorded: 'prefill' },
  },
  'in transfer': {
    engine: { 'link-bytes-per-second': 50_000 },
    ...{ promptTokens: 8000, recorded: 'transfer' },
  },
  'in decode': { engine: {}, promptTokens: 10, recorded: 'decode' },
};

/** Longer than any scenario, so that the engine's answer never arrives. */
const ANSWER_DELAY_MS = 60_000;

const BYTES_PER_TOKEN = 4;

/**
 * Returns the engine options that keep a request in a phase.
 *
 * @param phase - the phase
 * @returns options of the engines
 */
export function engineOptionsFor(phase: HeldPhase): EngineOptions {
  return PHASE_PLANS[phase].engine;
}

/**
 * Creates a prompt of the length that keeps its request in a phase.
 *
 * @param phase - the phase
 * @returns the prompt
 */
export function promptFor(phase: HeldPhase): string {
  return 'visiting drum'.padEnd(PHASE_PLANS[phase].promptTokens * BYTES_PER_TOKEN, '.');
}

/**
 * Adds the fault that keeps a request in a phase, if the phase needs one.
 *
 * @param world - the scenario
 * @param phase - the phase
 */
export async function addPhaseFault(world: GuaranteeWorld, phase: HeldPhase): Promise<void> {
  if (phase !== 'reserving') return;
  const fault = { path: '/v1/reservations', kind: 'delay', delayMs: ANSWER_DELAY_MS };
  await world.fleet.servers.get('decode-1')?.addFault(fault);
}

/**
 * Waits until the engines' records show a visitor request in a phase. A queued request has no
 * engine record, so its daemon's status is checked instead.
 *
 * @param world - the scenario
 * @param phase - the phase
 * @param daemon - index of the daemon that handles the request
 */
export async function waitForPhase(
  world: GuaranteeWorld,
  phase: HeldPhase,
  daemon = 0,
): Promise<void> {
  const { recorded } = PHASE_PLANS[phase];
  const vm = daemonOf(world.fleet, daemon + 1);
  await waitFor(`a visitor request that is ${phase}`, async () => {
    const attempts = await listAttempts(world.fleet, VISITOR_TEAM);
    const own = attempts.filter((attempt) => attempt.owner.vm === vm.name && !attempt.ended);
    if (recorded) return own.some((attempt) => attempt.phase === recorded);
    const { vms } = await world.fleet.operatorClient(vm).calls.status({ local: true });
    return own.length === 0 && vms[0]?.activeRequests === 1;
  });
}
