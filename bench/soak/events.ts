import { setTimeout as delay } from 'node:timers/promises';

import { daemonNamed } from '../../harness/find-daemon.js';
import type { Fleet, FleetDaemon } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';
import { generateKey } from '../../src/configuration/keys.js';
import type { SoakJournal } from './journal.js';
import type { SoakEvent } from './schedule.js';
import { TEAMS, type TeamKeys } from './team-keys.js';

/** Presets that a run switches between; none changes the rates, which are checked over the whole run. */
const PRESETS = ['ordinary', 'peak', 'quiet', 'peak'];

const CALL_TIMEOUT_MS = 6000;
const RETRY_INTERVAL_MS = 200;
const LOST_ANSWER_COUNT = 20;

/** Runs the events of a schedule against a fleet. */
export class SoakEventRunner {
  private readonly pending = new Set<Promise<void>>();

  private exitsExpected = false;

  /** Daemons that are currently killed or frozen; a further kill or freeze of one of them is skipped. */
  private readonly affectedDaemons = new Set<FleetDaemon>();

  private constructor(
    private readonly fleet: Fleet,
    private readonly keys: TeamKeys,
    private readonly journal: SoakJournal,
  ) {
    fleet.daemons.forEach((daemon) => this.restartOnExit(daemon));
  }

  /**
   * Creates a runner; from now on, a daemon that exits unexpectedly is recorded and restarted.
   *
   * @param fleet - running fleet whose links go through relays
   * @param keys - keys of the teams, updated by withdrawals
   * @param journal - records the events
   * @returns a runner that has not run any event yet
   */
  static create(fleet: Fleet, keys: TeamKeys, journal: SoakJournal): SoakEventRunner {
    return new SoakEventRunner(fleet, keys, journal);
  }

  /**
   * Starts each event of a schedule at its time; does not wait until the last events have ended.
   *
   * @param schedule - events ordered by time
   */
  async run(schedule: readonly SoakEvent[]): Promise<void> {
    const startMs = performance.now();
    for (const event of schedule) {
      await delay(Math.max(0, startMs + event.atMs - performance.now()));
      this.track(this.runEvent(event));
    }
  }

  /**
   * Waits until all events have ended and every killed daemon runs again, then clears the remaining
   * faults.
   */
  async clearFaults(): Promise<void> {
    await Promise.all(this.pending);
    await this.fleet.log.clearFaults();
    const { daemons } = this.fleet;
    daemons.forEach(({ links }) => links?.log.heal());
    daemons.forEach((one) => daemons.forEach((other) => this.fleet.healPartition(one, other)));
  }

  /** Exits of daemons are expected from now on: they are neither recorded nor followed by a restart. */
  expectExits(): void {
    this.exitsExpected = true;
  }

  private track(work: Promise<void>): void {
    this.pending.add(work);
    void work.finally(() => this.pending.delete(work));
  }

  private async runEvent(event: SoakEvent): Promise<void> {
    const { kind, atMs, first, second, durationMs } = event;
    const note = await this.dispatch(event).catch((error: unknown) => `failed: ${String(error)}`);
    const numbers = `${first} ${second} for ${durationMs} ms`;
    this.journal.events.push(`${String(atMs).padStart(6)} ms ${kind} ${numbers}: ${note}`);
  }

  private dispatch(event: SoakEvent): Promise<string> {
    const { kind, first, second, durationMs: forMs } = event;
    switch (kind) {
      case 'kill-daemon':
        return this.kill(this.daemon(first), forMs / 2);
      case 'freeze-daemon':
        return this.freeze(this.daemon(first), forMs);
      case 'separate-daemons':
        return this.separate(this.daemon(first), this.daemon(second), forMs);
      case 'cut-from-log':
        return this.cutFromLog(this.daemon(first), forMs);
      case 'restart-engine':
        return this.restartEngine(first + second);
      case 'log-outage':
        return this.addLogFault({ kind: 'unavailable', forMs });
      case 'log-lost-answers':
        return this.addLogFault({ kind: 'lost-answer', count: LOST_ANSWER_COUNT, forMs });
      case 'switch-preset':
        return this.switchPreset(this.daemon(first), PRESETS[second] ?? 'ordinary');
      default:
        return this.withdraw(TEAMS[first % TEAMS.length] ?? 'oval-crew', second);
    }
  }

  /** Records a daemon that exits without being killed, and restarts it as the platform would do. */
  private restartOnExit(daemon: FleetDaemon): void {
    const { process } = daemon;
    void process.ended.then(async ({ code, signal }) => {
      if (signal === 'SIGKILL' || this.exitsExpected) return;
      const reason = process
        .stdout()
        .split('\n')
        .findLast((line) => line.includes('error'));
      this.journal.crashes.push(
        `${daemon.name} exited with code ${code}, signal ${signal}: ${reason}`,
      );
      await this.restartUntilRunning(daemon);
    });
  }

  /** Repeats a start that fails, for example on a busy machine, as the platform would do. */
  private async restartUntilRunning(daemon: FleetDaemon): Promise<void> {
    const started = await this.fleet.restartDaemon(daemon).then(
      () => true,
      (error: unknown) => {
        this.journal.events.push(`${daemon.name} failed to start: ${String(error)}`);
        return false;
      },
    );
    if (started) this.restartOnExit(daemon);
    else if (!this.exitsExpected) await this.restartUntilRunning(daemon);
  }

  private daemon(index: number): FleetDaemon {
    return daemonNamed(this.fleet, `vm-${index + 1}`);
  }

  private async kill(daemon: FleetDaemon, durationMs: number): Promise<string> {
    if (this.affectedDaemons.has(daemon)) return 'skipped';
    this.affectedDaemons.add(daemon);
    const outage = { daemon: daemon.name, fromMs: Date.now(), toMs: Infinity };
    this.journal.outages.push(outage);
    await daemon.process.kill();
    await delay(durationMs);
    await this.restartUntilRunning(daemon);
    outage.toMs = Date.now();
    this.affectedDaemons.delete(daemon);
    return `${daemon.name} was down`;
  }

  private async freeze(daemon: FleetDaemon, durationMs: number): Promise<string> {
    if (this.affectedDaemons.has(daemon)) return 'skipped';
    this.affectedDaemons.add(daemon);
    daemon.process.pause();
    await delay(durationMs);
    daemon.process.resume();
    this.affectedDaemons.delete(daemon);
    return `${daemon.name} was frozen`;
  }

  private async separate(
    one: FleetDaemon,
    other: FleetDaemon,
    durationMs: number,
  ): Promise<string> {
    this.fleet.partition(one, other);
    await delay(durationMs);
    this.fleet.healPartition(one, other);
    return `${one.name} and ${other.name} were separated`;
  }

  private async cutFromLog(daemon: FleetDaemon, durationMs: number): Promise<string> {
    daemon.links?.log.cut();
    await delay(durationMs);
    daemon.links?.log.heal();
    return `${daemon.name} was cut from the log`;
  }

  private async restartEngine(number: number): Promise<string> {
    const engines = [...this.fleet.servers].filter(([name]) => !name.startsWith('yard'));
    const [name, engine] = engines[number % engines.length] ?? [];
    await engine?.setState({ restart: true });
    return `${name} restarted`;
  }

  private async addLogFault(fault: { kind: string; count?: number; forMs: number }) {
    await this.fleet.log.addFault(fault);
    return 'added';
  }

  private async switchPreset(daemon: FleetDaemon, name: string): Promise<string> {
    const change = { changeJson: JSON.stringify({ kind: 'switch-preset', name }), base: -1n };
    const { calls } = this.fleet.operatorClient(daemon);
    const answer = await calls.change(
      { ...change, operator: 'soak' },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    return `${name} through ${daemon.name}: ${answer.verdict}`;
  }

  /**
   * Moves the team's callers to a new key, then withdraws the old one, which some callers keep sending.
   */
  private async withdraw(team: string, firstDaemon: number): Promise<string> {
    const next = generateKey();
    const { keyId, secretHash, text } = next;
    const change = { kind: 'give-key', key: { keyId, team, secretHash } };
    const operatorClient = this.fleet.operatorClient(this.daemon(firstDaemon));
    const answer = await operatorClient.calls.change(
      { changeJson: JSON.stringify(change), base: -1n, operator: 'soak' },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (answer.verdict !== 'accepted') return `no new key: ${answer.verdict}`;
    const old = this.keys.active.get(team);
    this.keys.active.set(team, { keyId, text });
    if (!old) return 'no old key';
    let turn = firstDaemon;
    await waitFor(
      `the withdrawal of ${old.keyId}`,
      async () => {
        turn += 1;
        return this.requestWithdrawal(this.daemon(turn % this.fleet.daemons.length), old.keyId);
      },
      { timeoutMs: 20_000, intervalMs: RETRY_INTERVAL_MS },
    );
    this.journal.withdrawals.push({ keyId: old.keyId, atMs: Date.now() });
    this.keys.withdrawn.push(old);
    return `${team} lost ${old.keyId}`;
  }

  /**
   * Asks a daemon to withdraw a key. True when the withdrawal is in the log or confirmed by more than
   * one daemon: one that only the asked daemon knows is lost when that daemon dies, so it is requested
   * again.
   */
  private async requestWithdrawal(daemon: FleetDaemon, keyId: string): Promise<boolean> {
    const { calls } = this.fleet.operatorClient(daemon);
    const answer = await calls.withdrawKey(
      { keyId, operator: 'soak' },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    return answer.logged || answer.confirmed.length > 1;
  }
}
