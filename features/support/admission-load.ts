import type { Team } from '../../src/domain/team.js';
import type { AdmissionFleet, FleetVm } from './admission-fleet.js';

/** Tokens of each generated request. */
export const REQUEST_TOKENS = 100;

/** Creates a team of weight 1. */
export function createTeam(name: string, rate: number, burst: number): Team {
  return { name, rate, burst, weight: 1 };
}

/**
 * Sends requests of several teams at constant rates to the VMs that `choose` selects. Returns
 * without waiting for the answers.
 */
export async function generateLoad(
  fleet: AdmissionFleet,
  loads: readonly { team: string; perSecond: number }[],
  choose: (index: number) => FleetVm,
  ms: number,
  options: { runMs?: number; used?: number; onStep?: (passedMs: number) => void } = {},
): Promise<void> {
  const { runMs = 50, used = REQUEST_TOKENS, onStep } = options;
  const pendingTokens = loads.map(() => 0);
  let count = 0;
  const send = (team: string) => {
    const vm = choose(count);
    count += 1;
    void fleet.ask(vm, team, REQUEST_TOKENS, { model: 'planner', runMs, used });
  };
  for (let passed = 0; passed < ms; passed += 2) {
    for (const [index, { team, perSecond }] of loads.entries()) {
      pendingTokens[index]! += (perSecond * 2) / 1000;
      for (; pendingTokens[index]! >= REQUEST_TOKENS; pendingTokens[index]! -= REQUEST_TOKENS)
        send(team);
    }
    onStep?.(passed);
    await fleet.advance(2);
  }
}
