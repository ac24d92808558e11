import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion, type CallerAnswer } from '../../harness/caller-client.js';
import { fetchEntryAddresses } from '../../harness/entry-addresses.js';
import type { Fleet } from '../../harness/fleet.js';
import type { Address } from '../../src/domain/vm.js';
import { percentile, type RequestResult } from './measures.js';
import { writePrompt, type Arrival } from './workload.js';

interface CallerTeam {
  readonly key: string;
  addresses: readonly Address[];
  validUntilMs: number;
}

/**
 * Callers of all teams; the callers of a team send to the first entry address that the system returns.
 */
export class FleetCallers {
  private readonly teams = new Map<string, CallerTeam>();

  private addressRequests = 0;

  private constructor(
    private readonly fleet: Fleet,
    private readonly model: string,
    private readonly seed: number,
  ) {}

  /**
   * Creates callers and issues a key to each team.
   *
   * @param fleet - running fleet
   * @param model - model that all requests name
   * @param teams - names of the teams
   * @param seed - seed of the workload
   * @returns callers that have not sent any request yet
   */
  static async create(
    fleet: Fleet,
    model: string,
    teams: readonly string[],
    seed: number,
  ): Promise<FleetCallers> {
    const callers = new FleetCallers(fleet, model, seed);
    for (const team of teams) {
      const { text } = await fleet.giveKey(team);
      callers.teams.set(team, { key: text, addresses: [], validUntilMs: 0 });
    }
    return callers;
  }

  /**
   * Sends each request at its arrival time, whether or not earlier ones have ended (open loop).
   *
   * @param arrivals - requests ordered by arrival time
   * @returns outcome of each request
   */
  async sendAll(arrivals: readonly Arrival[]): Promise<readonly RequestResult[]> {
    await Promise.all([...this.teams.values()].map((team) => this.refreshAddresses(team)));
    const startMs = performance.now();
    const refreshing = setInterval(() => this.refreshExpired(), 500);
    const results: Promise<RequestResult>[] = [];
    for (const arrival of arrivals) {
      const waitMs = arrival.atMs - (performance.now() - startMs);
      if (waitMs > 0) await delay(waitMs);
      results.push(this.send(arrival));
    }
    const ended = await Promise.all(results);
    clearInterval(refreshing);
    return ended;
  }

  private async send(arrival: Arrival): Promise<RequestResult> {
    const team = this.teams.get(arrival.team);
    const [address] = team?.addresses ?? [];
    if (!team || !address) throw new Error(`no entry address for team ${arrival.team}`);
    const { cancelAfterMs } = arrival;
    const cancel = new AbortController();
    const timer =
      cancelAfterMs === undefined ? undefined : setTimeout(() => cancel.abort(), cancelAfterMs);
    const gaps: number[] = [];
    let lastMs = 0;
    try {
      const answer = await callCompletion(address, {
        ...{ model: this.model, prompt: writePrompt(arrival, this.seed) },
        ...{ maxTokens: arrival.outputTokens, key: team.key, stream: true, signal: cancel.signal },
        onToken: (count) => {
          const nowMs = performance.now();
          if (count > 1) gaps.push(nowMs - lastMs);
          lastMs = nowMs;
        },
      });
      return createResult(arrival, answer, gaps);
    } catch {
      return { arrival, code: undefined, complete: false, firstTokenMs: undefined, gapMs: 0 };
    } finally {
      clearTimeout(timer);
    }
  }

  private refreshExpired(): void {
    this.teams.forEach((team) => {
      if (team.validUntilMs >= performance.now()) return;
      // On failure, the team keeps its addresses and the next refresh tries again.
      this.refreshAddresses(team).catch(() => {});
    });
  }

  private async refreshAddresses(team: CallerTeam): Promise<void> {
    this.addressRequests += 1;
    const daemon = this.fleet.daemons[this.addressRequests % this.fleet.daemons.length];
    if (!daemon) return;
    const answer = await fetchEntryAddresses(daemon, team.key);
    const validUntilMs = performance.now() + answer.validForMs;
    Object.assign(team, { addresses: answer.addresses, validUntilMs });
  }
}

function createResult(
  arrival: Arrival,
  answer: CallerAnswer,
  gaps: readonly number[],
): RequestResult {
  const { code, complete, firstTokenMs } = answer;
  return { arrival, code, complete, firstTokenMs, gapMs: percentile(gaps, 0.95) };
}
