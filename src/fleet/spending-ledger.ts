import type { FleetWork } from './digest.js';

/** Pairs of counters by name. */
type Totals = FleetWork['spent'] | FleetWork['retries'];

/** Maximum number of retired sources that are remembered. */
const MAX_ABSENT = 100;

interface Entry {
  last: Totals;
  readonly spent: Map<string, [number, number]>;
}

/**
 * Sums what several VMs have spent: tokens by team, or requests and retries by pool. The sum never
 * decreases: what a VM has spent stays in it after the VM leaves, and a new VM is counted from its first
 * digest on.
 */
export class SpendingLedger {
  private readonly entries = new Map<string, Entry>();

  private readonly retired = new Map<string, [number, number]>();

  /** Last totals of retired sources, with the oldest first; empty unless sources may return. */
  private readonly absent = new Map<string, Totals>();

  private constructor(private readonly mayReturn: boolean) {}

  /**
   * Creates an empty ledger.
   *
   * @param mayReturn - whether a retired source is the only one that knows what it spends until it
   *   returns, as after a partition; otherwise other sources count it meanwhile
   * @returns a new ledger
   */
  static create(mayReturn = false): SpendingLedger {
    return new SpendingLedger(mayReturn);
  }

  /**
   * Records the totals of a source.
   *
   * @param source - identifies a VM or hub with its incarnation
   * @param totals - counters since the source started
   */
  record(source: string, totals: Totals): void {
    const entry = this.entries.get(source) ?? {
      last: this.absent.get(source) ?? totals,
      spent: new Map<string, [number, number]>(),
    };
    this.entries.set(source, entry);
    this.absent.delete(source);
    Object.entries(totals).forEach(([team, [all, inside]]) => {
      const [lastAll, lastInside] = entry.last[team] ?? [0, 0];
      add(entry.spent, team, all - lastAll, inside - lastInside);
    });
    entry.last = totals;
  }

  /**
   * Stops tracking a source; what it has spent stays in the sum.
   *
   * @param source - identifies the VM or hub with its incarnation
   */
  retire(source: string): void {
    const entry = this.entries.get(source);
    entry?.spent.forEach(([all, inside], team) => add(this.retired, team, all, inside));
    this.entries.delete(source);
    if (entry && this.mayReturn) this.remember(source, entry.last);
  }

  private remember(source: string, totals: Totals): void {
    const [oldest] = this.absent.keys();
    if (oldest !== undefined && this.absent.size >= MAX_ABSENT) this.absent.delete(oldest);
    this.absent.set(source, totals);
  }

  /**
   * Sums all sources but one.
   *
   * @param except - source to leave out
   * @returns sums of the counters
   */
  sum(except?: string): Totals {
    const sums = new Map<string, [number, number]>(this.retired);
    this.entries.forEach(({ spent: added }, source) => {
      if (source === except) return;
      added.forEach(([all, inside], team) => add(sums, team, all, inside));
    });
    return Object.fromEntries(sums);
  }
}

function add(sums: Map<string, [number, number]>, team: string, all: number, inside: number): void {
  const [sumAll, sumInside] = sums.get(team) ?? [0, 0];
  sums.set(team, [sumAll + all, sumInside + inside]);
}
