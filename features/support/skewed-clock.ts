import { Clock } from '../../src/kernel/clock.js';

/** A clock on simulated time that stops while its VM is suspended, and whose wall clock can jump. */
export class SkewedClock extends Clock {
  suspendedSinceMs: number | undefined;

  private suspendedMs = 0;

  private wallOffsetMs = 0;

  constructor(private readonly now: () => number) {
    super();
  }

  override monotonicMs(): number {
    return (this.suspendedSinceMs ?? this.now()) - this.suspendedMs;
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
    this.suspendedMs += this.now() - this.suspendedSinceMs;
    this.suspendedSinceMs = undefined;
  }
}
