import type { FleetWork } from './digest.js';
import { SpendingLedger } from './spending-ledger.js';

/** What a VM has spent since its start. */
type Spending = Pick<FleetWork, 'spent' | 'retries'>;

/** Sums the tokens and the retries that several VMs have spent. */
export class WorkLedger {
  private readonly tokens = SpendingLedger.create();

  private readonly retries: SpendingLedger;

  private constructor(mayReturn: boolean) {
    this.retries = SpendingLedger.create(mayReturn);
  }

  /**
   * Creates an empty ledger.
   *
   * @param mayReturn - whether the retries of a retired source are counted when it returns
   * @returns a new ledger
   */
  static create(mayReturn = false): WorkLedger {
    return new WorkLedger(mayReturn);
  }

  /**
   * Records what a source has spent.
   *
   * @param source - identifies a VM or hub with its incarnation
   * @param spending - totals since the source started
   */
  record(source: string, { spent, retries }: Spending): void {
    this.tokens.record(source, spent);
    this.retries.record(source, retries);
  }

  /**
   * Stops tracking a source; what it has spent stays in the sum.
   *
   * @param source - identifies the VM or hub with its incarnation
   */
  retire(source: string): void {
    this.tokens.retire(source);
    this.retries.retire(source);
  }

  /**
   * Sums all sources but one.
   *
   * @param except - source to leave out
   * @returns tokens by team, and requests and retries by pool
   */
  sum(except?: string): Spending {
    return { spent: this.tokens.sum(except), retries: this.retries.sum(except) };
  }
}
