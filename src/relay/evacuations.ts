import { comparePositions, UNREAD, type StorePosition } from '../domain/store-position.js';

/** Whether an availability zone is evacuated, and the record that says so. */
export interface ZoneRecord extends StorePosition {
  readonly zone: string;
  readonly evacuated: boolean;
}

/** What a VM knows of evacuations. */
export interface EvacuationReport extends StorePosition {
  /** The newest record of each zone; era and offset of the report are those up to which records are known. */
  readonly zones: readonly ZoneRecord[];
}

/** Availability zones whose servers get nothing new, as the operator has asked. */
export class Evacuations {
  private position: StorePosition = UNREAD;

  private readonly records = new Map<string, ZoneRecord>();

  /**
   * Creates an instance that knows no evacuation.
   *
   * @returns a new instance
   */
  static create(): Evacuations {
    return new Evacuations();
  }

  /** Names of the evacuated zones. */
  get zones(): string[] {
    return [...this.records.values()].filter(({ evacuated }) => evacuated).map(({ zone }) => zone);
  }

  /** What this VM knows, for other VMs. */
  get report(): EvacuationReport {
    return { ...this.position, zones: [...this.records.values()] };
  }

  /**
   * Returns whether a zone is evacuated.
   *
   * @param zone - name of an availability zone
   * @returns true while its servers may get nothing new
   */
  has(zone: string): boolean {
    return this.records.get(zone)?.evacuated === true;
  }

  /**
   * Merges records of the store or of another VM; the newest record of each zone holds. An evacuation ends
   * when a later position of its era is known without it, because its record has been removed there. One of
   * an earlier era is kept when the store has come back without it, until a record of the zone says otherwise.
   *
   * @param report - records, and the position up to which they are complete
   */
  merge({ era, offset, zones }: EvacuationReport): void {
    const position = { era, offset };
    const named = new Set(zones.map(({ zone }) => zone));
    this.records.forEach((known, zone) => {
      if (!named.has(zone) && isCovered(known, position)) this.records.delete(zone);
    });
    this.apply(zones, position);
  }

  /**
   * Applies changes that follow the last position.
   *
   * @param changes - records of zones, in order
   * @param position - position after them
   */
  apply(changes: readonly ZoneRecord[], position: StorePosition): void {
    changes.forEach((record) => {
      const known = this.records.get(record.zone);
      if (known ? comparePositions(record, known) <= 0 : isCovered(record, this.position)) return;
      this.records.set(record.zone, record);
    });
    if (comparePositions(position, this.position) > 0) this.position = position;
  }
}

/** Whether a record that is not known up to a position has been removed before it. */
function isCovered(record: StorePosition, position: StorePosition): boolean {
  return record.era === position.era && record.offset < position.offset;
}
