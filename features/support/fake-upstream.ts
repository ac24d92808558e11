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

/** Scripted result of a send. */
export type UpstreamStep =
  'answer' | 'failure status' | 'stream breaks' | 'stream breaks late' | 'hangs' | UpstreamFailure;

/** Delay of a late break, in milliseconds; longer than the route's `patienceMs`. */
const LATE_BREAK_MS = 600;

/** A send that the fake has received. */
export interface RecordedSend {
  readonly server: string;
  readonly options: SendOptions;
}

/** Simulates the servers of a pool without network: each send takes the next step; the last one repeats. */
export class FakeUpstream extends Upstream {
  readonly sends: RecordedSend[] = [];

  /** Everything that reached a server. */
  readonly arrivals: Arrival[] = [];

  readonly released: string[] = [];

  readonly discarded: string[] = [];

  prefills = 0;

  private reservations = 0;

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

  override async send(
    server: CatalogServer,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<Outcome<OpenAnswer, UpstreamFailure>> {
    this.sends.push({ server: server.id, options });
    const step = this.steps.length > 1 ? this.steps.shift()! : this.steps[0]!;
    if (step !== 'unsent') this.recordArrival(request, 'run', isAnswer(step));
    if (step === 'hangs') {
      await new Promise((resolve) => {
        options.signal.addEventListener('abort', resolve, { once: true });
      });
      return fail('cancelled');
    }
    if (isAnswer(step)) return succeed(createAnswer(step, options));
    return fail(step);
  }

  override async prefill(
    server: CatalogServer,
    request: RelayRequest,
  ): Promise<Outcome<PrefillResult, UpstreamFailure>> {
    this.prefills += 1;
    this.recordArrival(request, 'prefill', true);
    return Promise.resolve(succeed({ server, handle: `k${this.prefills}`, tokens: 100 }));
  }

  private recordArrival(
    { requestId }: RelayRequest,
    kind: Arrival['kind'],
    accepted: boolean,
  ): void {
    this.arrivals.push({ atMs: 0, request: requestId, kind, accepted });
  }

  override async reserve(): Promise<Outcome<string, UpstreamFailure>> {
    this.reservations += 1;
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

type AnswerStep = Exclude<UpstreamStep, UpstreamFailure | 'hangs'>;

function isAnswer(step: UpstreamStep): step is AnswerStep {
  return ['answer', 'failure status', 'stream breaks', 'stream breaks late'].includes(step);
}

function createAnswer(step: AnswerStep, { resumeAfter }: SendOptions): OpenAnswer {
  const status = step === 'failure status' ? 500 : 200;
  const first = Number(resumeAfter ?? 0) + 1;
  async function* body() {
    yield Buffer.from(`id: ${first}\ndata: x\n\n`);
    if (step === 'stream breaks late') {
      await new Promise((resolve) => {
        setTimeout(resolve, LATE_BREAK_MS);
      });
    }
    if (step !== 'answer' && status === 200) throw new Error('reset');
    yield Buffer.from(`id: ${first + 1}\ndata: x\n\n`);
  }
  return { head: { status, headers: [], framed: true }, body: body() };
}
