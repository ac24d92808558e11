import { randomUUID } from 'node:crypto';

import type { KvContent } from './kv-content.js';
import type { AttemptFields } from './request-schema.js';

/** A decode slot with KV blocks. */
export interface EngineReservation {
  readonly reservationId: string;
  readonly attempt: AttemptFields;
  /** Present when the KV cache has been imported. */
  content: KvContent | undefined;
  importing: boolean;
  expiresAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Reservations of an engine; one that is never used expires. */
export class Reservations {
  private readonly byAttempt = new Map<string, EngineReservation>();

  private constructor(
    private readonly lifetimeMs: number,
    private readonly onExpired: (reservation: EngineReservation) => void,
  ) {}

  /**
   * Creates an empty list.
   *
   * @param lifetimeMs - how long an unused reservation is kept
   * @param onExpired - called after a reservation was dropped unused
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
   * @param attempt - whose it is
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
   * @param reservationId - its id, when the caller names one
   * @returns the reservation, or undefined
   */
  find(attemptId: string, reservationId?: string): EngineReservation | undefined {
    const found = this.byAttempt.get(attemptId);
    if (reservationId !== undefined && found?.reservationId !== reservationId) return undefined;
    return found;
  }

  /**
   * Marks the begin of an import, during which the reservation does not expire.
   *
   * @param reservation - the reservation
   */
  beginImport(reservation: EngineReservation): void {
    clearTimeout(reservation.timer);
    Object.assign(reservation, { importing: true });
  }

  /**
   * Marks the end of an import. Without content the reservation can expire again.
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

  /** Drops everything without calling `onExpired`. */
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
