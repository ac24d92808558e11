import { setTimeout } from 'node:timers/promises';

import { SystemClock } from '../../src/kernel/system-clock.js';
import { fail, succeed, type Outcome } from '../../src/kernel/outcome.js';
import type { RelayRequest } from '../../src/relay/relay-request.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import {
  Upstream,
  type OpenAnswer,
  type PrefillResult,
  type SendOptions,
  type UpstreamFailure,
} from '../../src/relay/upstream.js';
import type { Arrival } from './retry-simulation.js';

/** A body with this text crashes the server that begins to answer it. */
export const CRASH = 'crash';

/** How far the answer has come when a request crashes its server. */
export type CrashPoint = 'before the head' | 'after the head' | 'after the first event';

/** Body of an answer with a failure status. */
export const FAILURE_TEXT = '{"error":"the server failed"}';

/** Scripted result of a send. */
export type UpstreamStep = 'hangs' | AnswerStep | UpstreamFailure;

type AnswerStep = (typeof ANSWER_STEPS)[number];

const ANSWER_STEPS = [
  'answer',
  'failure status',
  'failure status without end',
  'stream breaks',
  'stream breaks late',
  'stream ends inside an event',
  'stream ends inside an event after a long one',
  'text of another type',
  'slow events',
  'a long pause',
  'comments for ever',
  'half an event for ever',
  'an event without end',
] as const;

/** Length of a long event, more than a plain run buffers. */
const LONG_DATA = 300_000;

/** Pause between the pieces of a slow or endless stream, in milliseconds. */
const PIECE_INTERVAL_MS = 900;

/** Pieces of a sound but slow stream; together they take longer than a stream may be idle. */
const SLOW_PIECES = 4;

/** Pause of a sound stream that its callers bear, in milliseconds. */
const LONG_PAUSE_MS = 3300;

/** Delay of a late break, in milliseconds; longer than the route's `patienceMs`. */
const LATE_BREAK_MS = 600;

/** A send that the fake has received. */
export interface RecordedSend {
  readonly server: string;
  readonly options: SendOptions;
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
}

/** Simulates the servers of a pool without network: each send takes the next step; the last one repeats. */
export class FakeUpstream extends Upstream {
  readonly sends: RecordedSend[] = [];

  /** Everything that reached a server. */
  readonly arrivals: Arrival[] = [];

  readonly released: string[] = [];

  readonly discarded: string[] = [];

  prefills = 0;

  /** Called while a prompt is read. */
  duringPrefill: () => void = () => undefined;

  /** Time in which a prompt is read, in milliseconds. */
  prefillMs = 0;

  /** Servers with a reservation, the newest last. */
  readonly reserved: string[] = [];

  crashPoint: CrashPoint = 'before the head';

  private reservations = 0;

  /** Answers that have neither ended nor been given up. */
  private readonly open = new Set<OpenAnswer>();

  /** Servers that have crashed. */
  private readonly down = new Set<string>();

  private readonly clock = SystemClock.create();

  private constructor(private readonly steps: UpstreamStep[]) {
    super();
  }

  /**
   * Creates a fake.
   *
   * @param steps - results of the sends, in order
   * @returns the fake
   */
  static create(steps: readonly UpstreamStep[]): FakeUpstream {
    return new FakeUpstream([...steps]);
  }

  /**
   * Answers sends before the next step is taken.
   *
   * @param count - number of sends
   */
  answerFirst(count: number): void {
    this.steps.unshift(...Array.from({ length: count }, () => 'answer' as const));
  }

  override async send(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<OpenAnswer, UpstreamFailure>> {
    if (this.down.has(server.id)) return fail('unsent');
    this.sends.push({ server: server.id, options, atMs: this.clock.monotonicMs() });
    if (request.body.includes(CRASH)) return this.crash(server, request);
    const step = this.steps.length > 1 ? this.steps.shift()! : this.steps[0]!;
    if (step !== 'unsent') this.recordArrival(request, 'run', isAnswer(step));
    if (step === 'hangs') {
      await new Promise((resolve) => {
        options.signal.addEventListener('abort', resolve, { once: true });
      });
      return fail('cancelled');
    }
    if (isAnswer(step)) return succeed(this.track(createAnswer(step, options), options.signal));
    return fail(step);
  }

  override async prefill(
    server: CatalogServer,
    request: RelayRequest,
  ): Promise<Outcome<PrefillResult, UpstreamFailure>> {
    this.prefills += 1;
    this.duringPrefill();
    if (this.prefillMs > 0) await setTimeout(this.prefillMs);
    this.recordArrival(request, 'prefill', true);
    return succeed({ server, handle: `k${this.prefills}`, tokens: 100 });
  }

  /** Number of answers that the relay has neither read to their end nor given up. */
  get openAnswers(): number {
    return this.open.size;
  }

  private track(answer: OpenAnswer, signal: AbortSignal): OpenAnswer {
    const { open } = this;
    open.add(answer);
    signal.addEventListener('abort', () => open.delete(answer), { once: true });
    async function* body(): AsyncGenerator<Buffer> {
      try {
        yield* answer.body;
      } finally {
        open.delete(answer);
      }
    }
    return { head: answer.head, body: body() };
  }

  /** Servers that have crashed. */
  get crashed(): ReadonlySet<string> {
    return this.down;
  }

  private crash(
    server: CatalogServer,
    request: RelayRequest,
  ): Outcome<OpenAnswer, UpstreamFailure> {
    const { crashPoint } = this;
    this.down.add(server.id);
    this.recordArrival(request, 'run', false);
    if (crashPoint === 'before the head') return fail('broken');
    async function* body(): AsyncGenerator<Buffer> {
      await setTimeout(1);
      yield Buffer.from(crashPoint === 'after the head' ? '' : 'id: 1\ndata: x\n\n');
      throw new Error('reset');
    }
    return succeed({ head: { status: 200, headers: [], framed: true }, body: body() });
  }

  private recordArrival(
    { requestId }: RelayRequest,
    kind: Arrival['kind'],
    accepted: boolean,
  ): void {
    this.arrivals.push({ atMs: 0, request: requestId, kind, accepted });
  }

  override async reserve(server: CatalogServer): Promise<Outcome<string, UpstreamFailure>> {
    if (this.down.has(server.id)) return Promise.resolve(fail('unsent'));
    this.reservations += 1;
    this.reserved.push(server.id);
    return Promise.resolve(succeed(`h${this.reservations}`));
  }

  override release(_: CatalogServer, reservation: string): void {
    this.released.push(reservation);
  }

  override discard({ handle }: PrefillResult): void {
    this.discarded.push(handle);
  }

  override async orderStage(): Promise<Outcome<void, UpstreamFailure>> {
    return Promise.resolve(succeed(undefined));
  }
}

function isAnswer(step: UpstreamStep): step is AnswerStep {
  return (ANSWER_STEPS as readonly string[]).includes(step);
}

/** Pieces of streams that make no progress, or hardly any. */
function describeSlow(
  step: AnswerStep,
  first: number,
): { piece: string; count: number } | undefined {
  if (step === 'slow events') return { piece: `id: ${first + 1}\ndata: x\n\n`, count: SLOW_PIECES };
  if (step === 'comments for ever') return { piece: ': still here\n\n', count: Infinity };
  if (step === 'half an event for ever') return { piece: 'x', count: Infinity };
  return undefined;
}

function createAnswer(step: AnswerStep, { resumeAfter, signal }: SendOptions): OpenAnswer {
  const status = step.startsWith('failure status') ? 500 : 200;
  const first = Number(resumeAfter ?? 0) + 1;
  async function* body() {
    if (status !== 200) {
      yield Buffer.from(FAILURE_TEXT);
      while (step === 'failure status without end' && !signal.aborted) {
        await setTimeout(0);
        yield Buffer.alloc(65_536, ' ');
      }
      return;
    }
    if (step === 'text of another type') {
      yield Buffer.from('a text');
      return;
    }
    yield Buffer.from(`id: ${first}\ndata: x\n\n`);
    const slow = describeSlow(step, first);
    for (let sent = 0; slow && sent < slow.count; sent += 1) {
      await setTimeout(PIECE_INTERVAL_MS, undefined, { signal });
      yield Buffer.from(slow.piece);
    }
    while (step === 'an event without end' && !signal.aborted) {
      await setTimeout(0);
      yield Buffer.alloc(65_536, 'x');
    }
    if (step === 'a long pause') await setTimeout(LONG_PAUSE_MS, undefined, { signal });
    if (step === 'stream breaks late') await setTimeout(LATE_BREAK_MS);
    if (step.startsWith('stream breaks')) throw new Error('reset');
    if (step === 'stream ends inside an event after a long one')
      yield Buffer.from(`id: ${first + 1}\ndata: ${'x'.repeat(LONG_DATA)}\n\n`);
    if (step.startsWith('stream ends inside an event')) {
      yield Buffer.from(`id: ${first + (step === 'stream ends inside an event' ? 1 : 2)}\ndata:`);
      return;
    }
    yield Buffer.from(`id: ${first + 1}\ndata: x\n\n`);
  }
  const headers = step === 'text of another type' ? ['Content-Type', 'text/plain'] : [];
  return { head: { status, headers, framed: true }, body: body() };
}
