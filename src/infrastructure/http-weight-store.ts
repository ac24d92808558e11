import type { Agent } from 'undici';

import { fail, succeed, type Outcome } from '../kernel/outcome.js';
import {
  buildDeadlines,
  callHttpForHeaders,
  createAgent,
  type HttpDeadlines,
} from './http-call.js';
import { WeightStore, type WeightFile } from './weight-store.js';

/** Location of the weight store and timeouts of calls. */
export interface HttpWeightStoreOptions {
  readonly url: string;
  /** Timeout for an answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Timeout for connecting, in milliseconds; half of `timeoutMs` when absent. */
  readonly connectMs?: number;
}

/** Weight store over HTTP; downloads are aborted after the headers. */
export class HttpWeightStore extends WeightStore {
  private readonly agent: Agent;

  private readonly deadlines: HttpDeadlines;

  private constructor(private readonly options: HttpWeightStoreOptions) {
    super();
    this.deadlines = buildDeadlines(options.timeoutMs, options.connectMs);
    this.agent = createAgent(this.deadlines, 0);
  }

  /**
   * Creates an adapter without open connections.
   *
   * @param options - URL and timeouts
   * @returns a new adapter
   */
  static create(options: HttpWeightStoreOptions): HttpWeightStore {
    return new HttpWeightStore(options);
  }

  override async find(model: string, version: string): Promise<Outcome<WeightFile, Error>> {
    const path = [model, version].map(encodeURIComponent).join('/');
    const url = `${this.options.url.replace(/\/+$/, '')}/v1/weights/${path}`;
    const { deadlines } = this;
    const answer = await callHttpForHeaders(this.agent, {
      method: 'GET',
      url,
      deadlines,
      maxBodyBytes: 0,
    });
    if (answer.kind === 'failed') return answer;
    const { status, headers } = answer.value;
    if (status !== 200) return fail(new Error(`the weight store answered with status ${status}`));
    const bytes = Number(headers['content-length']);
    if (!Number.isSafeInteger(bytes))
      return fail(new Error('the weight store answered without a valid content-length'));
    return succeed({ model, version, bytes });
  }

  override async stop(): Promise<void> {
    await this.agent.destroy();
  }
}
