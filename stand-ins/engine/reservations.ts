import { randomUUID } from 'node:crypto';

import type { KvContent } from './kv-content.js';
import type { AttemptFields } from './request-schema.js';

/** Reservation of a decode slot with KV blocks. */
export interface EngineReservation {
  readonly reservationId: string;
  readonly attempt: AttemptFields;
  /** Set once the KV cache has been imported. */
  content: KvContent | undefined;
  importing: boolean;
  expiresAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Reservations of an engine; an unused one expires. */
export class Reservations {
  private readonly byAttempt = new Map<string, EngineReservation>();

  private constructor(
    private readonly lifetimeMs: number,
    private readonly onExpired: (reservation: EngineReservation) => void,
  ) {}

  /**
   * Creates an empty list.
   *
   * @param lifetimeMs - lifetime of an unused reservation
   * @param onExpired - called after an unused reservation was dropped
   * @returns a new list
   */
  static create(
    lifetimeMs: number,
    onExpired: (reservation: EngineReservation) => void,
  ): Reservations {
    return new Reservations(lifetimeMs, onExpired);
  }

  /**
   * Adds a reservation.
   *
   * @param attempt - attempt that it belongs to
   * @returns the reservation
   */
  add(attempt: AttemptFields): EngineReservation {
    const reservation: EngineReservation = {
      reservationId: randomUUID(),
      attempt,
      content: undefined,
      importing: false,
      expiresAtMs: 0,
      timer: undefined,
    };
    this.byAttempt.set(attempt.attemptId, reservation);
    this.startTimer(reservation);
    return reservation;
  }

  /**
   * Finds the reservation of an attempt.
   *
   * @param attemptId - the attempt
   * @param reservationId - id that the reservation must have, if given
   * @returns the reservation, or undefined
   */
  find(attemptId: string, reservationId?: string): EngineReservation | undefined {
    const found = this.byAttempt.get(attemptId);
    if (reservationId !== undefined && found?.reservationId !== reservationId) return undefined;
    return found;
  }

  /**
   * Marks the start of an import, during which the reservation does not expire.
   *
   * @param reservation - the reservation
   */
  beginImport(reservation: EngineReservation): void {
    clearTimeout(reservation.timer);
    Object.assign(reservation, { importing: true });
  }

  /**
   * Marks the end of an import. After a failed import the lifetime of the reservation starts anew.
   *
   * @param reservation - the reservation
   * @param content - what was imported, or undefined when the import failed
   */
  endImport(reservation: EngineReservation, content: KvContent | undefined): void {
    Object.assign(reservation, { importing: false, content });
    const isKept = this.byAttempt.get(reservation.attempt.attemptId) === reservation;
    if (!content && isKept) this.startTimer(reservation);
  }

  /**
   * Drops the reservation of an attempt.
   *
   * @param attemptId - the attempt
   */
  drop(attemptId: string): void {
    clearTimeout(this.byAttempt.get(attemptId)?.timer);
    this.byAttempt.delete(attemptId);
  }

  /** Drops all reservations without calling `onExpired`. */
  clear(): void {
    [...this.byAttempt.keys()].forEach((attemptId) => this.drop(attemptId));
  }

  private startTimer(reservation: EngineReservation): void {
    const timer = setTimeout(() => {
      this.drop(reservation.attempt.attemptId);
      this.onExpired(reservation);
    }, this.lifetimeMs);
    Object.assign(reservation, { timer, expiresAtMs: performance.now() + this.lifetimeMs });
  }
}
