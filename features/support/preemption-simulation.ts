import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { computeReservedTokens } from '../../src/relay/reservation-size.js';

/** Work of an engine over a period in which requests were always waiting. */
export interface PreemptionResult {
  readonly finished: number;
  /** Tokens that were recomputed after a preemption, relative to all prompt tokens. */
  readonly recomputed: number;
}

interface Stream {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly reserved: number;
  generated: number;
}

/** KV memory of the engine, in tokens. */
const MEMORY_TOKENS = 73_378;

/** Maximum number of concurrent requests. */
const SLOTS = 12;

/** Maximum length of an answer, in tokens. */
const MAX_OUTPUT_TOKENS = 8190;

/** Tokens that each request generates in a step. */
const STEP_TOKENS = 30;

const STEPS = 20_000;

/** Standard deviation of the logarithm of sizes and of estimates. */
const SPREAD = 0.47;

/** One decode engine whose memory is always full, with requests whose callers estimate the answer's size. */
class PreemptionSimulation {
  private readonly random;

  private readonly running: Stream[] = [];

  private finished = 0;

  private recomputedTokens = 0;

  private promptTokens = 0;

  constructor(
    private readonly factor: number,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  run(): PreemptionResult {
    let next = this.createStream();
    for (let step = 0; step < STEPS; step += 1) {
      while (this.running.length < SLOTS && this.reservable() >= next.reserved) {
        this.running.push(next);
        this.promptTokens += next.promptTokens;
        next = this.createStream();
      }
      this.advance();
    }
    return { finished: this.finished, recomputed: this.recomputedTokens / this.promptTokens };
  }

  /** Memory that is neither used nor reserved; a request that exceeds its reservation counts with its size. */
  private reservable(): number {
    const taken = this.running.map((stream) => Math.max(stream.reserved, sizeOf(stream)));
    return MEMORY_TOKENS - taken.reduce((sum, tokens) => sum + tokens, 0);
  }

  private advance(): void {
    this.running.forEach((stream) => {
      Object.assign(stream, {
        generated: Math.min(stream.outputTokens, stream.generated + STEP_TOKENS),
      });
    });
    const ended = this.running.filter(({ generated, outputTokens }) => generated >= outputTokens);
    ended.forEach((stream) => this.running.splice(this.running.indexOf(stream), 1));
    this.finished += ended.length;
    while (this.reservable() < 0 && this.preempt());
  }

  /** Preempts the newest request that exceeds its reservation; all its tokens are recomputed later. */
  private preempt(): boolean {
    const newest = this.running.findLastIndex((stream) => sizeOf(stream) > stream.reserved);
    if (newest < 0) return false;
    const [stream] = this.running.splice(newest, 1);
    this.recomputedTokens += sizeOf(stream!);
    return true;
  }

  private createStream(): Stream {
    const promptTokens = Math.min(11_000, this.draw(5000));
    const outputTokens = Math.min(MAX_OUTPUT_TOKENS, this.draw(4400));
    const expectedTokens = this.draw(outputTokens);
    const sizes = { promptTokens, outputTokens: MAX_OUTPUT_TOKENS, expectedTokens };
    return {
      promptTokens,
      outputTokens,
      reserved: computeReservedTokens(sizes, this.factor),
      generated: 0,
    };
  }

  /** Draws a size from a log-normal distribution around a median. */
  private draw(median: number): number {
    const uniform = () => uniformInt(this.random, 0, 999_999) / 1_000_000;
    const normal = Array.from({ length: 12 }, uniform).reduce((sum, value) => sum + value, -6);
    return Math.ceil(median * Math.exp(SPREAD * normal));
  }
}

function sizeOf({ promptTokens, generated }: Stream): number {
  return promptTokens + generated;
}

/**
 * Simulates one decode engine that always has requests waiting.
 *
 * @param factor - memory reserved for an answer as a multiple of its caller's estimate
 * @param seed - seed of the sizes
 * @returns number of completed requests, and the share of recomputed tokens
 */
export function simulatePreemption(factor: number, seed: number): PreemptionResult {
  return new PreemptionSimulation(factor, seed).run();
}
