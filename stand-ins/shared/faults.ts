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

/** Faults of the answer to any request. */
export type RequestFaultKind = (typeof REQUEST_KINDS)[number];

/** Faults of the events of a decode stream. */
export type StreamFaultKind = (typeof STREAM_KINDS)[number];

type Fault = z.infer<typeof faultSchema> & { remaining: number; expiresAtMs: number };

/** Request that a fault may match. */
export interface FaultTarget {
  readonly path: string;
  readonly listener?: string;
}

/** Faults added on the admin listener or the command line; the oldest match applies. */
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
   * Finds the fault of the answer to a request, and uses up one of its occurrences.
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
   * Finds the fault of a decode stream, and uses up one of its occurrences.
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
   * Checks whether a prompt matches a `crash-on` fault, and uses up one of its occurrences.
   *
   * @param target - path of the request
   * @param prompt - the prompt
   * @returns true when the text of a `crash-on` fault is part of the prompt
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
