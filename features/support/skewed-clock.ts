import { Clock } from '../../src/kernel/clock.js';

/** A clock over simulated time that can stop, as in a suspended VM, and whose wall clock can jump. */
export class SkewedClock extends Clock {
  suspendedSinceMs: number | undefined;

  private lostMs = 0;

  private wallOffsetMs = 0;

  constructor(private readonly now: () => number) {
    super();
  }

  override monotonicMs(): number {
    return (this.suspendedSinceMs ?? this.now()) - this.lostMs;
  }

  override wallMs(): number {
    return this.now() + this.wallOffsetMs;
  }

  override sleep(): Promise<void> {
    return Promise.resolve();
  }

  suspend(): void {
    this.suspendedSinceMs = this.now();
  }

  shiftWall(ms: number): void {
    this.wallOffsetMs += ms;
  }

  resume(): void {
    if (this.suspendedSinceMs === undefined) return;
    this.lostMs += this.now() - this.suspendedSinceMs;
    this.suspendedSinceMs = undefined;
  }
}
