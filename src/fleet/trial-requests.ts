import type { Clock } from '../kernel/clock.js';
import { rankByRendezvous } from '../kernel/rendezvous.js';
import { CrashTrials, type TrialEnd, type TrialPermit } from '../relay/crash-trials.js';
import type { TrialMessage } from './digest.js';

/** Maximum number of VMs that are asked for a trial, because the first ones may have ended. */
const MAX_ASKS = 3;

/** Time after which an answer to a question is not waited for any more, in milliseconds. */
const ANSWER_TIMEOUT_MS = 50;

/** Time without questions about the same crashes after one was refused, in milliseconds. */
const REFUSED_PAUSE_MS = 100;

/** Maximum number of groups of crashes whose last refusal is remembered. */
const MAX_PAUSES = 512;

/** Sends a message to a VM, unless its address is not known. */
export type SendTrial = (vm: string, message: TrialMessage) => void;

/** What a VM must know of the fleet to ask for trials. */
export interface TrialFleet {
  readonly vm: string;
  /** Names of the VMs that are reachable now, without this one. */
  readonly peers: () => readonly string[];
}

/**
 * Asks for trials of requests that may crash servers, and grants those of other VMs. All VMs rank the fleet alike for
 * the same crashes, so the first VM that answers knows whether a trial takes place. VMs that rank it differently, or
 * do not reach each other, may grant one each.
 */
export class TrialRequests {
  private readonly trials = CrashTrials.create();

  /** Takes the answer to each open question. */
  private readonly questions = new Map<string, (step: TrialMessage['step'] | undefined) => void>();

  /** Monotonic time until which nobody is asked, in milliseconds, by group of crashes. */
  private readonly pausedUntilMs = new Map<string, number>();

  private asked = 0;

  private constructor(
    private readonly fleet: TrialFleet,
    private readonly incarnation: string,
    private readonly clock: Clock,
    private readonly send: SendTrial,
  ) {}

  /**
   * Creates an instance without trials.
   *
   * @param fleet - this VM and the others
   * @param incarnation - incarnation of this VM
   * @param clock - source of time
   * @param send - sends a message to a VM
   * @returns a new instance
   */
  static create(
    fleet: TrialFleet,
    incarnation: string,
    clock: Clock,
    send: SendTrial,
  ): TrialRequests {
    return new TrialRequests(fleet, incarnation, clock, send);
  }

  /**
   * Asks for a trial.
   *
   * @param group - the crashes that the trial is about
   * @returns a permit, or undefined while another trial takes place or nobody answers
   */
  async acquire(group: string): Promise<TrialPermit | undefined> {
    const { vm, peers } = this.fleet;
    if ((this.pausedUntilMs.get(group) ?? -Infinity) > this.clock.monotonicMs()) return undefined;
    this.asked += 1;
    const trial = `${this.incarnation}/${this.asked}`;
    const ranked = rankByRendezvous(group, [vm, ...peers()], (name) => name).slice(0, MAX_ASKS);
    for (const granter of ranked) {
      const step = await this.ask(granter, group, trial);
      if (step === 'grant') return this.createPermit(granter, group, trial);
      if (step === 'refuse') break;
    }
    if (this.pausedUntilMs.size >= MAX_PAUSES) this.pausedUntilMs.clear();
    this.pausedUntilMs.set(group, this.clock.monotonicMs() + REFUSED_PAUSE_MS);
    return undefined;
  }

  /**
   * Handles a message of another VM.
   *
   * @param message - a question, the answer to one, or the end of a trial
   */
  receive({ vm, step, group, trial }: TrialMessage): void {
    const nowMs = this.clock.monotonicMs();
    if (step === 'ask') {
      const isGranted = this.trials.grant(group, trial, nowMs);
      this.send(vm, this.compose(isGranted ? 'grant' : 'refuse', group, trial));
    } else if (step === 'grant' || step === 'refuse') this.settle(vm, step, group, trial);
    else this.trials.end(group, trial, step, nowMs);
  }

  private ask(granter: string, group: string, trial: string) {
    if (granter === this.fleet.vm) {
      const isGranted = this.trials.grant(group, trial, this.clock.monotonicMs());
      return Promise.resolve<TrialMessage['step']>(isGranted ? 'grant' : 'refuse');
    }
    const key = `${granter} ${trial}`;
    const answered = new AbortController();
    return new Promise<TrialMessage['step'] | undefined>((resolve) => {
      this.questions.set(key, (step) => {
        this.questions.delete(key);
        answered.abort();
        resolve(step);
      });
      void this.clock
        .sleep(ANSWER_TIMEOUT_MS, answered.signal)
        .then(() => this.questions.get(key)?.(undefined));
      this.send(granter, this.compose('ask', group, trial));
    });
  }

  private settle(vm: string, step: 'grant' | 'refuse', group: string, trial: string): void {
    const settle = this.questions.get(`${vm} ${trial}`);
    if (settle) settle(step);
    // The answer came too late, and the request was refused or got a permit of another VM.
    else if (step === 'grant') this.send(vm, this.compose('unused', group, trial));
  }

  private createPermit(granter: string, group: string, trial: string): TrialPermit {
    let hasEnded = false;
    const end = (how: TrialEnd) => {
      if (hasEnded) return;
      hasEnded = true;
      if (granter !== this.fleet.vm) this.send(granter, this.compose(how, group, trial));
      else this.trials.end(group, trial, how, this.clock.monotonicMs());
    };
    return { end };
  }

  private compose(step: TrialMessage['step'], group: string, trial: string): TrialMessage {
    return { kind: 'trial', vm: this.fleet.vm, step, group, trial };
  }
}
