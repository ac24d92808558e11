import type { EngineFailureReason } from '../backends/engine-failure.js';
import type { Refusal, RefusalCode } from '../domain/refusal.js';
import type { AnswerEvent, FinishReason } from '../domain/request.js';

/** What happened to a request; `step` names the action that it answers. */
export type AttemptEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'admitted'; readonly step: number }
  /** Admission, an extension of the grant, or the lack of any server refused the request. */
  | { readonly kind: 'refused'; readonly step: number; readonly refusal: Refusal }
  /** No server can be chosen now. */
  | { readonly kind: 'no-server'; readonly step: number }
  | { readonly kind: 'paused'; readonly step: number }
  /** The first token can no longer come in time; nothing was sent in this step. */
  | { readonly kind: 'late'; readonly step: number }
  /** The debit is too old or the share lease has lapsed; nothing was sent in this step. */
  | { readonly kind: 'unsendable'; readonly step: number }
  /** The call of this step goes to a server now. */
  | { readonly kind: 'sent'; readonly step: number; readonly server: string }
  | { readonly kind: 'reserved'; readonly step: number }
  | { readonly kind: 'prefilled'; readonly step: number; readonly promptTokens: number }
  | { readonly kind: 'extended'; readonly step: number }
  | { readonly kind: 'transferred'; readonly step: number }
  | {
      readonly kind: 'token';
      readonly step: number;
      readonly index: number;
      readonly text: string;
    }
  | {
      readonly kind: 'end';
      readonly step: number;
      readonly reason: FinishReason;
      readonly promptTokens: number;
      readonly completionTokens: number;
    }
  | { readonly kind: 'failed'; readonly step: number; readonly reason: EngineFailureReason }
  /** The caller, the key, the VM or a deadline ends the request. */
  | { readonly kind: 'abort'; readonly code: RefusalCode; readonly message: string };

/** What has to be done; an action with a `step` is answered by events with that step. */
export type AttemptAction =
  | { readonly kind: 'admit'; readonly step: number }
  | { readonly kind: 'reserve'; readonly step: number }
  | { readonly kind: 'prefill'; readonly step: number }
  | { readonly kind: 'extend'; readonly step: number; readonly tokens: number }
  | { readonly kind: 'transfer'; readonly step: number }
  | { readonly kind: 'decode'; readonly step: number; readonly fromIndex: number }
  /** Wait a moment for a server. */
  | { readonly kind: 'pause'; readonly step: number }
  | { readonly kind: 'emit'; readonly event: AnswerEvent }
  /** Ends an attempt: its id is not used again and these servers must release its holds. */
  | { readonly kind: 'close'; readonly attempt: number; readonly release: readonly string[] }
  /** Settles the grant that answered the `admit` action of this step. */
  | { readonly kind: 'settle'; readonly grant: number; readonly tokens: number }
  | {
      readonly kind: 'waste';
      readonly tokens: number;
      readonly cause: 'expired' | 'abandoned';
    };
