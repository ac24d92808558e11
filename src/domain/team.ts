/** A customer of the operator, with its rate limit and its weight in the fleet. */
export interface Team {
  readonly name: string;
  /** Tokens per second over the whole fleet. */
  readonly rate: number;
  /** Tokens that the team may use at once after a pause, over the whole fleet. */
  readonly burst: number;
  /** Relative share of the team when capacity is scarce. */
  readonly weight: number;
}

/** Stored form of a team's key; the secret itself is never stored. */
export interface TeamKey {
  readonly keyId: string;
  readonly team: string;
  /** SHA-256 of the secret, hexadecimal. */
  readonly secretHash: string;
}
