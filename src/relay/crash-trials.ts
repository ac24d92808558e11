/** Time for which one VM may make a trial, in milliseconds: its server crashes or answers, and the others know. */
const TRIAL_MS = 2000;

/** Maximum number of suspects whose last turn is remembered. */
const MAX_USED = 512;

/** Place of this VM in an order of the fleet. */
export interface TrialTurn {
  readonly rank: number;
  readonly vms: number;
}

/**
 * Decides which VM sends a request with a prompt part that may or may not crash servers, because another part was
 * in the same prompts. The VMs take turns, each sends one request in its turn, so that few servers crash by trials.
 */
export class CrashTrials {
  /** Turn that this VM has used last, by suspect: the time of the newest crash, and the number of the turn since. */
  private readonly used = new Map<string, { readonly sinceMs: number; readonly turn: number }>();

  private constructor(private readonly turnOf: (suspect: string) => TrialTurn) {}

  /**
   * Creates an instance without trials.
   *
   * @param turnOf - returns the place of this VM in an order that all VMs know and that depends on the suspect
   * @returns a new instance
   */
  static create(turnOf: (suspect: string) => TrialTurn): CrashTrials {
    return new CrashTrials(turnOf);
  }

  /**
   * Takes the turn of this VM.
   *
   * @param suspect - the prompt part
   * @param sinceMs - monotonic time of the newest crash, in milliseconds
   * @param nowMs - monotonic time, in milliseconds
   * @returns true when the request may be sent
   */
  take(suspect: string, sinceMs: number, nowMs: number): boolean {
    const turn = Math.floor((nowMs - sinceMs) / TRIAL_MS);
    const { rank, vms } = this.turnOf(suspect);
    if (turn % vms !== rank) return false;
    const used = this.used.get(suspect);
    if (used?.sinceMs === sinceMs && used.turn === turn) return false;
    if (this.used.size >= MAX_USED) this.used.clear();
    this.used.set(suspect, { sinceMs, turn });
    return true;
  }
}
