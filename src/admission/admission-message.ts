import type { ShareGrant } from './home-shares.js';
import type { DebitPart, Funding, SlotHold, WaitingRequest } from './waiting-request.js';

/** What the homes answered to one attempt to collect a request's tokens. */
export interface FundingAttempt {
  readonly request: WaitingRequest;
  readonly hold: SlotHold;
  readonly funding: Funding;
  /** Number of homes that answered. */
  readonly answeredHomes: number;
  /** Monotonic time when a home that was passed over may be asked again; 0 when all were asked. */
  readonly backoffUntilMs: number;
}

/** A debit that another VM asked for. */
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
      /** Tokens that the request might have given back at most. */
      readonly refundable: number;
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
