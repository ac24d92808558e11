import { nameIncarnation, sameIncarnation } from '../domain/vm.js';
import type { Preset } from '../domain/route.js';
import type { Team } from '../domain/team.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import type { FleetSnapshot } from './home-shares.js';
import { computeTeamLimits } from './share-limits.js';
import type { BucketLimits } from './token-bucket.js';

/** A member that did not confirm an epoch is asked again after this time. */
const EPOCH_QUERY_INTERVAL_MS = 50;

/** Bound on remembered answers; all are forgotten when it is reached. */
const MAX_ANSWERS = 2000;

interface EpochAnswer {
  epoch: number;
  askedMs: number;
}

/** Reads what admission needs from configuration and membership at the moment of a decision. */
export class FleetView {
  private readonly answers = new Map<string, EpochAnswer>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
    private readonly onAnswer: () => void,
  ) {}

  /**
   * Creates the facts.
   *
   * @param kernel - finds `configuration` and `membership`
   * @param clock - source of time
   * @param onAnswer - called when a member has told its epoch
   * @returns new facts
   */
  static create(kernel: Kernel, clock: Clock, onAnswer: () => void): FleetView {
    return new FleetView(kernel, clock, onAnswer);
  }

  /**
   * Reads the facts for one operation on the shares.
   *
   * @returns fleet and configuration now
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
   * Tells whether this VM may spend its shares now.
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
   * Reads the preset in force.
   *
   * @returns the preset, or undefined before the configuration was read
   */
  preset(): Preset | undefined {
    const state = this.kernel.find('configuration').current();
    return state?.presets.get(state.presetInForce);
  }

  /**
   * Reads a team.
   *
   * @param name - name of the team
   * @returns the team, or undefined when there is none
   */
  team(name: string): Team | undefined {
    return this.kernel.find('configuration').current()?.teams.get(name);
  }

  /**
   * Computes the limits of a team under the preset in force.
   *
   * @param name - name of the team
   * @returns rate and burst over all homes, or undefined when there is no such team
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
    const key = nameIncarnation(member);
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
