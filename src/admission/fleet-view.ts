import { formatIncarnation, sameIncarnation } from '../domain/vm.js';
import type { Preset } from '../domain/route.js';
import type { Team } from '../domain/team.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { FleetSnapshot } from './home-shares.js';
import { computeTeamLimits } from './share-limits.js';
import type { BucketLimits } from './token-bucket.js';

/** Minimum interval between epoch queries to a member that has not confirmed an epoch. */
const EPOCH_QUERY_INTERVAL_MS = 50;

/** Maximum number of stored answers; all are cleared when it is reached. */
const MAX_ANSWERS = 2000;

interface EpochAnswer {
  epoch: number;
  askedMs: number;
}

/** Reads what admission needs from the current configuration and membership. */
export class FleetView {
  private readonly answers = new Map<string, EpochAnswer>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly onAnswer: () => void,
  ) {}

  /**
   * Creates a view.
   *
   * @param kernel - finds `configuration` and `membership`
   * @param clock - source of time
   * @param onAnswer - called when a member has reported a newer epoch
   * @returns a new view
   */
  static create(kernel: Kernel, clock: Clock, onAnswer: () => void): FleetView {
    return new FleetView(kernel, clock, onAnswer);
  }

  /**
   * Takes a snapshot for one operation on the shares.
   *
   * @returns the current state of the fleet and the configuration
   */
  snapshot(): FleetSnapshot {
    const membership = this.kernel.find('membership');
    return {
      self: membership.self(),
      history: membership.current().members.length > 0 ? membership.history() : [],
      nowMs: this.clock.monotonicMs(),
      limitsOf: (team) => this.limitsOf(team),
      hasConfirmed: (member, epoch) => this.hasConfirmed(member, epoch),
    };
  }

  /**
   * Returns whether this VM may grant tokens from its shares now.
   *
   * @returns true while it is a member with a live lease
   */
  maySpend(): boolean {
    const membership = this.kernel.find('membership');
    if (!membership.joined() || !membership.leaseLive()) return false;
    const self = membership.self();
    return membership.current().members.some((member) => sameIncarnation(member, self));
  }

  /**
   * Returns the preset in force.
   *
   * @returns the preset, or undefined before the configuration has been read
   */
  preset(): Preset | undefined {
    const state = this.kernel.find('configuration').current();
    return state?.presets.get(state.presetInForce);
  }

  /**
   * Looks up a team.
   *
   * @param name - name of the team
   * @returns the team, or undefined when there is no such team
   */
  team(name: string): Team | undefined {
    return this.kernel.find('configuration').current()?.teams.get(name);
  }

  /**
   * Computes the limits of a team under the preset in force.
   *
   * @param name - name of the team
   * @returns rate and burst, summed over all homes, or undefined when there is no such team
   */
  limitsOf(name: string): BucketLimits | undefined {
    const team = this.team(name);
    const preset = this.preset();
    return team && preset ? computeTeamLimits(team, preset.rateFactor) : undefined;
  }

  private hasConfirmed(member: Member, epoch: number): boolean {
    if (this.kernel.find('membership').confirmedEpoch(member) >= epoch) return true;
    const answer = this.getOrCreateAnswer(member);
    if (answer.epoch >= epoch) return true;
    if (this.clock.monotonicMs() - answer.askedMs >= EPOCH_QUERY_INTERVAL_MS)
      void this.queryEpoch(member, answer);
    return false;
  }

  private getOrCreateAnswer(member: Member): EpochAnswer {
    const key = formatIncarnation(member);
    const known = this.answers.get(key);
    if (known) return known;
    if (this.answers.size >= MAX_ANSWERS) this.answers.clear();
    const answer = { epoch: 0, askedMs: -Infinity };
    this.answers.set(key, answer);
    return answer;
  }

  private async queryEpoch(member: Member, answer: EpochAnswer): Promise<void> {
    Object.assign(answer, { askedMs: this.clock.monotonicMs() });
    const epoch = await this.kernel.find('membership').askEpoch(member);
    if (epoch <= answer.epoch) return;
    Object.assign(answer, { epoch });
    this.onAnswer();
  }
}
