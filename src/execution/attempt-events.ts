import type { EngineFailureReason } from '../backends/engine-failure.js';
import type { Refusal, RefusalCode } from '../domain/refusal.js';
import type { AnswerEvent, FinishReason } from '../domain/request.js';

/** An event of a request; `step` is the step of the action that it answers. */
export type AttemptEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'admitted'; readonly step: number }
  /** Admission or an extension of the grant was refused, or no configured server serves the model. */
  | { readonly kind: 'refused'; readonly step: number; readonly refusal: Refusal }
  /** No server can be chosen at the moment. */
  | { readonly kind: 'no-server'; readonly step: number }
  | { readonly kind: 'paused'; readonly step: number }
  /** The first token cannot arrive before its deadline; nothing was sent in this step. */
  | { readonly kind: 'late'; readonly step: number }
  /** The debit is too old or the share lease has expired; nothing was sent in this step. */
  | { readonly kind: 'unsendable'; readonly step: number }
  /** The call of this step is about to be sent to a server. */
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
  /** Ends the request because of its caller, its team key, the VM or a deadline. */
  | { readonly kind: 'abort'; readonly code: RefusalCode; readonly message: string };

/** An action to run; an action with a `step` is answered by events with the same step. */
export type AttemptAction =
  | { readonly kind: 'admit'; readonly step: number }
  | { readonly kind: 'reserve'; readonly step: number }
  | { readonly kind: 'prefill'; readonly step: number }
  | { readonly kind: 'extend'; readonly step: number; readonly tokens: number }
  | { readonly kind: 'transfer'; readonly step: number }
  | { readonly kind: 'decode'; readonly step: number; readonly fromIndex: number }
  /** Waits before another try to choose a server. */
  | { readonly kind: 'pause'; readonly step: number }
  | { readonly kind: 'emit'; readonly event: AnswerEvent }
  /** Ends an attempt: its id is not reused, and the listed servers must release its holds. */
  | { readonly kind: 'close'; readonly attempt: number; readonly release: readonly string[] }
  /** Settles the grant that answered the `admit` action of this step. */
  | { readonly kind: 'settle'; readonly grant: number; readonly tokens: number }
  | {
      readonly kind: 'waste';
      readonly tokens: number;
      readonly cause: 'expired' | 'abandoned';
    };
