import type { Stream } from 'most';
import type { Agent } from 'undici';
import { z } from 'zod';

import { Channel } from '../kernel/channel.js';
import type { Clock } from '../kernel/clock.js';
import { buildDeadlines, callHttp, createAgent, type HttpDeadlines } from './http-call.js';
import { VmList, type VmListing } from './vm-list.js';

/** Largest accepted listing, in bytes: some 5,000 VMs and servers. */
const MAX_LISTING_BYTES = 1_048_576;

const state = z.enum(['live', 'leaving']);
const port = z.int().min(1).max(65_535);
const listingSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      region: z.string(),
      availabilityZone: z.string(),
      host: z.string(),
      peerPort: port,
      callerPort: port,
      state,
    }),
  ),
  servers: z.array(z.object({ name: z.string(), state })).default([]),
});

/** Location of the list, interval of polls and timeouts. */
export interface HttpVmListOptions {
  readonly url: string;
  /** Time from the end of one poll to the next, in milliseconds. */
  readonly pollMs: number;
  /** Timeout for an answer and again for its body, in milliseconds. */
  readonly timeoutMs: number;
  /** Timeout for connecting, in milliseconds; half of `timeoutMs` when absent. */
  readonly connectMs?: number;
}

/** Polls the VM list over HTTP; after a failed poll the last list stays current. */
export class HttpVmList extends VmList {
  private readonly channel = Channel.create<VmListing>();

  private readonly stopping = new AbortController();

  private readonly agent: Agent;

  private readonly deadlines: HttpDeadlines;

  private latest: VmListing | undefined;

  private polling: Promise<void> = Promise.resolve();

  private constructor(
    private readonly options: HttpVmListOptions,
    private readonly clock: Clock,
  ) {
    super();
    this.deadlines = buildDeadlines(options.timeoutMs, options.connectMs);
    this.agent = createAgent(this.deadlines, MAX_LISTING_BYTES);
  }

  /**
   * Creates an adapter that starts to poll when it is started.
   *
   * @param options - URL, interval of polls and timeouts
   * @param clock - measures the time between polls
   * @returns a new adapter
   */
  static create(options: HttpVmListOptions, clock: Clock): HttpVmList {
    return new HttpVmList(options, clock);
  }

  override async start(): Promise<void> {
    this.polling = this.runPollLoop();
  }

  override async stop(): Promise<void> {
    this.stopping.abort(new Error('the VM list adapter was stopped'));
    await this.polling;
    await this.agent.destroy();
    this.channel.end();
  }

  override current(): VmListing | undefined {
    return this.latest;
  }

  override changes(): Stream<VmListing> {
    return this.channel.stream();
  }

  private async runPollLoop(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const listing = await this.fetchListing(signal);
      if (listing && !signal.aborted) this.publishIfChanged(listing);
      await this.clock.sleep(this.options.pollMs, signal);
    }
  }

  private async fetchListing(signal: AbortSignal): Promise<VmListing | undefined> {
    const url = `${this.options.url.replace(/\/+$/, '')}/v1/vms`;
    const { deadlines } = this;
    const call = {
      method: 'GET' as const,
      url,
      deadlines,
      maxBodyBytes: MAX_LISTING_BYTES,
      signal,
    };
    const answer = await callHttp(this.agent, call);
    if (answer.kind === 'failed' || answer.value.status !== 200) return undefined;
    return listingSchema.safeParse(answer.value.body).data;
  }

  private publishIfChanged(listing: VmListing): void {
    if (JSON.stringify(listing) === JSON.stringify(this.latest)) return;
    this.latest = listing;
    this.channel.push(listing);
  }
}
