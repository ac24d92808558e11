/** Time after which a trial whose end nobody has reported is over, in milliseconds. */
const TRIAL_MS = 2000;

/** Time in which the crash of the server of a broken trial becomes known, in milliseconds. */
const CONFIRMATION_MS = 5000;

/** Maximum number of groups of crashes about which there are trials at once. */
const MAX_TRIALS = 512;

/** How a trial ended: the server answered, its connection broke, or no server began to run the request. */
export type TrialEnd = 'sound' | 'broken' | 'unused';

/** Allows one request to be sent although one of its prompt parts may crash servers. */
export interface TrialPermit {
  /** Reports the end of the trial; only the first call counts. */
  readonly end: (end: TrialEnd) => void;
}

interface Trial {
  readonly id: string;
  readonly untilMs: number;
}

/**
 * Grants trials: requests that are sent to learn which of several prompt parts crashes servers. Of the trials about
 * the same crashes one takes place at a time, so that few servers crash by them.
 */
export class CrashTrials {
  private readonly trials = new Map<string, Trial>();

  /**
   * Creates an instance without trials.
   *
   * @returns a new instance
   */
  static create(): CrashTrials {
    return new CrashTrials();
  }

  /**
   * Grants a trial unless another one takes place.
   *
   * @param group - the crashes that the trial is about
   * @param id - id of the trial; a repeated question gets the same answer
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the request may be sent
   */
  grant(group: string, id: string, nowMs: number): boolean {
    const current = this.trials.get(group);
    if (current && current.untilMs > nowMs) return current.id === id;
    this.trials.forEach(({ untilMs }, each) => {
      if (untilMs <= nowMs) this.trials.delete(each);
    });
    if (this.trials.size >= MAX_TRIALS) return false;
    this.trials.set(group, { id, untilMs: nowMs + TRIAL_MS });
    return true;
  }

  /**
   * Ends a trial. After a broken one the next is granted when the others can know whether its server has crashed.
   *
   * @param group - the crashes that the trial is about
   * @param id - id of the trial
   * @param end - how it ended
   * @param nowMs - monotonic time, in milliseconds
   */
  end(group: string, id: string, end: TrialEnd, nowMs: number): void {
    if (this.trials.get(group)?.id !== id) return;
    if (end === 'broken') this.trials.set(group, { id, untilMs: nowMs + CONFIRMATION_MS });
    else this.trials.delete(group);
  }
}
