import { setMaxListeners } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';

import { callCompletion } from '../../harness/caller-client.js';
import type { FleetDaemon } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { fetchEntryAddresses, type EntryAddresses } from '../../harness/entry-addresses.js';

/** Load of callers that send at a fixed rate to the addresses in the fleet's entry answers. */
export interface EntryLoadPlan {
  readonly key: string;
  readonly callers: number;
  /** Requests per second of one caller. */
  readonly perSecond: number;
  /** Addresses that a caller knows from the start. */
  readonly known: readonly Pick<FleetDaemon, 'callers'>[];
}

/** Counts of requests and their outcomes over all callers. */
export interface EntryLoadCounts {
  sent: number;
  whole: number;
  /** Broken connections, which are not counted as refusals. */
  broken: number;
  /** Refusals by code. */
  readonly refused: Map<string, number>;
  readonly refusedIds: string[];
  /** VMs of the daemons that received requests. */
  readonly hosts: Set<string>;
}

/** A load in progress. */
export interface EntryLoad {
  readonly counts: EntryLoadCounts;
  readonly stop: () => Promise<void>;
}

/** 40 bytes, that is ten tokens, repeated three times. */
const PROMPT = 'roll the square before the second match.'.repeat(3);

const OUTPUT_TOKENS = 5;

/** Prompt and output tokens of one request. */
export const TOKENS_PER_REQUEST = 35;

const ENTRY_TIMEOUT_MS = 500;

const ANSWER_TIMEOUT_MS = 5000;

/** One caller; it caches an entry answer for the validity period that the answer states. */
class EntryClient {
  private answer: EntryAddresses | undefined;

  private expiresMs = 0;

  private known: readonly Pick<FleetDaemon, 'callers'>[];

  private constructor(
    private readonly plan: EntryLoadPlan,
    private readonly counts: EntryLoadCounts,
    private readonly index: number,
  ) {
    this.known = plan.known;
  }

  static create(plan: EntryLoadPlan, counts: EntryLoadCounts, index: number): EntryClient {
    return new EntryClient(plan, counts, index);
  }

  async run(ended: AbortSignal): Promise<void> {
    const open = new Set<Promise<void>>();
    const intervalMs = 1000 / this.plan.perSecond;
    let dueMs = performance.now() + (intervalMs * this.index) / this.plan.callers;
    for (let turn = this.index; !ended.aborted; turn += 1) {
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await delay(waitMs, undefined, { signal: ended }).catch(() => {});
      if (ended.aborted) break;
      dueMs += intervalMs;
      const { addresses } = await this.getEntryAnswer();
      const address = addresses[turn % addresses.length];
      if (!address) continue;
      const sending = this.send(address).finally(() => open.delete(sending));
      open.add(sending);
    }
    await Promise.all(open);
  }

  private async getEntryAnswer(): Promise<EntryAddresses> {
    if (this.answer && performance.now() < this.expiresMs) return this.answer;
    for (const daemon of this.known) {
      const signal = AbortSignal.timeout(ENTRY_TIMEOUT_MS);
      const answer = await fetchEntryAddresses(daemon, this.plan.key, signal).catch(
        () => undefined,
      );
      if (!answer?.addresses.length) continue;
      this.answer = answer;
      this.expiresMs = performance.now() + answer.validForMs;
      const named = answer.addresses.map(({ host, port }) => ({ callers: { host, port } }));
      this.known = [...named, ...this.plan.known];
      return answer;
    }
    return { addresses: [], validForMs: 0 };
  }

  private async send(address: { vm: string; host: string; port: number }): Promise<void> {
    const { counts } = this;
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
    const call = { model: MODEL, prompt: PROMPT, maxTokens: OUTPUT_TOKENS, key: this.plan.key };
    counts.sent += 1;
    counts.hosts.add(address.vm);
    const answer = await callCompletion(address, { ...call, signal, stream: true }).catch(
      () => undefined,
    );
    if (!answer) {
      counts.broken += 1;
      this.answer = undefined;
    } else if (answer.code) {
      counts.refused.set(answer.code, (counts.refused.get(answer.code) ?? 0) + 1);
      counts.refusedIds.push(answer.requestId);
    } else counts.whole += 1;
  }
}

/**
 * Starts callers that send to the addresses in the entry answers.
 *
 * @param plan - key, number of callers and rate
 * @returns the load in progress
 */
export function startEntryLoad(plan: EntryLoadPlan): EntryLoad {
  const ended = new AbortController();
  setMaxListeners(plan.callers, ended.signal);
  const counts: EntryLoadCounts = {
    ...{ sent: 0, whole: 0, broken: 0 },
    ...{ refused: new Map<string, number>(), refusedIds: [], hosts: new Set<string>() },
  };
  const runs = Array.from({ length: plan.callers }, (_, index) =>
    EntryClient.create(plan, counts, index).run(ended.signal),
  );
  return {
    counts,
    stop: async () => {
      ended.abort();
      await Promise.all(runs);
    },
  };
}
