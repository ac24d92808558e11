/** A customer of the operator, with its share of the fleet. */
export interface Team {
  readonly name: string;
  /** Tokens a second over the whole fleet. */
  readonly rate: number;
  /** Tokens that may run at once after a pause, over the whole fleet. */
  readonly burst: number;
  /** Share of capacity relative to the other teams when capacity is short. */
  readonly weight: number;
}

/** What the system keeps of a team's key; the secret itself is never stored. */
export interface TeamKey {
  readonly keyId: string;
  readonly team: string;
  /** SHA-256 of the secret, hexadecimal. */
  readonly secretHash: string;
}
