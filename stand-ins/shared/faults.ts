import { z } from 'zod';

const REQUEST_KINDS = ['unavailable', 'delay', 'silent', 'reset', 'lost-answer'] as const;
const STREAM_KINDS = ['cut', 'stall', 'late', 'crossed', 'duplicate', 'gap'] as const;

const faultSchema = z
  .strictObject({
    path: z.string().startsWith('/').default('/'),
    kind: z.enum([...REQUEST_KINDS, ...STREAM_KINDS, 'crash-on']),
    count: z.int().positive().optional(),
    delayMs: z.number().nonnegative().default(1000),
    forMs: z.number().positive().optional(),
    text: z.string().min(1).optional(),
    listener: z.string().optional(),
  })
  .refine((fault) => (fault.kind === 'crash-on') === (fault.text !== undefined), {
    message: 'text belongs to crash-on, and crash-on needs it',
  });

/** Kinds that concern the answer to any request. */
export type RequestFaultKind = (typeof REQUEST_KINDS)[number];

/** Kinds that concern the events of a decode stream. */
export type StreamFaultKind = (typeof STREAM_KINDS)[number];

type Fault = z.infer<typeof faultSchema> & { remaining: number; expiresAtMs: number };

/** Where a fault may apply. */
export interface FaultTarget {
  readonly path: string;
  readonly listener?: string;
}

/** Faults ordered on the admin listener; the oldest one that matches applies. */
export class FaultList {
  private faults: Fault[] = [];

  /**
   * Creates an empty list.
   *
   * @returns a new list
   */
  static create(): FaultList {
    return new FaultList();
  }

  /**
   * Adds a fault.
   *
   * @param value - body of `POST /faults`
   * @returns why the fault is malformed, or undefined when it was added
   */
  add(value: unknown): string | undefined {
    const parsed = faultSchema.safeParse(value);
    if (!parsed.success) return z.prettifyError(parsed.error);
    const { count, forMs } = parsed.data;
    this.faults.push({
      ...parsed.data,
      remaining: count ?? Infinity,
      expiresAtMs: forMs === undefined ? Infinity : performance.now() + forMs,
    });
    return undefined;
  }

  /** Removes all faults. */
  clear(): void {
    this.faults = [];
  }

  /**
   * Takes the fault that applies to the answer of a request, and counts it.
   *
   * @param target - path and listener of the request
   * @returns the fault, or undefined
   */
  consumeRequestFault(
    target: FaultTarget,
  ): { kind: RequestFaultKind; delayMs: number } | undefined {
    const fault = this.consume(target, (candidate) =>
      REQUEST_KINDS.some((kind) => kind === candidate.kind),
    );
    return fault && { kind: fault.kind as RequestFaultKind, delayMs: fault.delayMs };
  }

  /**
   * Takes the fault that applies to a decode stream, and counts it.
   *
   * @param target - path of the request
   * @returns the kind, or undefined
   */
  consumeStreamFault(target: FaultTarget): StreamFaultKind | undefined {
    const fault = this.consume(target, (candidate) =>
      STREAM_KINDS.some((kind) => kind === candidate.kind),
    );
    return fault?.kind as StreamFaultKind | undefined;
  }

  /**
   * Checks whether a prompt ends the process, and counts it.
   *
   * @param target - path of the request
   * @param prompt - the prompt
   * @returns true when a `crash-on` text is part of the prompt
   */
  consumeCrashFault(target: FaultTarget, prompt: string): boolean {
    const contains = (fault: Fault) => fault.text !== undefined && prompt.includes(fault.text);
    return this.consume(target, contains) !== undefined;
  }

  private consume(target: FaultTarget, matches: (fault: Fault) => boolean): Fault | undefined {
    const now = performance.now();
    this.faults = this.faults.filter((fault) => fault.remaining > 0 && fault.expiresAtMs > now);
    const found = this.faults.find(
      (fault) =>
        target.path.startsWith(fault.path) &&
        (fault.listener === undefined || fault.listener === target.listener) &&
        matches(fault),
    );
    if (found) found.remaining -= 1;
    return found;
  }
}
