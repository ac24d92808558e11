import type { ShareGrant } from './home-shares.js';
import type { DebitPart, Funding, SlotHold, WaitingRequest } from './waiting-request.js';

/** Result of one attempt to collect a request's tokens from the homes. */
export interface FundingAttempt {
  readonly request: WaitingRequest;
  readonly hold: SlotHold;
  readonly funding: Funding;
  /** Number of homes that answered. */
  readonly answeredHomes: number;
  /** Monotonic time when a home in back-off may be asked again, in milliseconds; 0 when none is. */
  readonly backoffUntilMs: number;
}

/** A debit or refund that another VM requested. */
export interface PeerDebit {
  readonly team: string;
  readonly tokens: number;
  readonly debitId: string;
}

/** Messages of the admission task. */
export type AdmissionMessage =
  | { readonly kind: 'wait'; readonly request: WaitingRequest }
  | { readonly kind: 'abandon'; readonly request: WaitingRequest }
  | { readonly kind: 'collected'; readonly attempt: FundingAttempt }
  | {
      readonly kind: 'settle';
      readonly team: string;
      readonly parts: readonly DebitPart[];
      readonly unusedTokens: number;
      /** Maximum number of tokens that the request could have had refunded. */
      readonly maxRefundTokens: number;
    }
  | {
      readonly kind: 'peer-debit';
      readonly debit: PeerDebit;
      readonly reply: (grant: ShareGrant) => void;
    }
  | { readonly kind: 'peer-refund'; readonly refund: PeerDebit; readonly reply: () => void }
  | { readonly kind: 'reset' }
  | { readonly kind: 'facts-changed' }
  | { readonly kind: 'wake' }
  | { readonly kind: 'tick' }
  | { readonly kind: 'stop' };
