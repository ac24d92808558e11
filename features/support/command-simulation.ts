import { setImmediate } from 'node:timers/promises';

import { registerFake } from '../../harness/module-fakes.js';
import type { StorePosition } from '../../src/domain/store-position.js';
import { CallFailure } from '../../src/kernel/call-failure.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import { fail, succeed, type Outcome } from '../../src/kernel/outcome.js';
import type { Stage } from '../../src/relay/server-catalog.js';
import { StageCommander } from '../../src/relay/stage-commander.js';
import type { StoreFailure } from '../../src/state/state-store.js';

/** Time for which the orders of a commander may be in flight, in milliseconds. */
export const LEASE_MS = 3000;

/** An order that a server has received. */
export interface ReceivedOrder {
  readonly vm: number;
  readonly fence: number;
  readonly atMs: number;
}

/** Whether a VM takes itself for the first at a time, whatever the truth is. */
export type LeaderView = (vm: number, nowMs: number) => boolean;

/** What goes wrong with the calls of the VMs to the store. */
export interface StoreTrouble {
  /** Longest time of a call, in milliseconds. */
  readonly mostMs: number;
  /** Share of the calls whose answer is lost, 0 to 1. */
  readonly lostShare: number;
  /** Time between two returns from an older copy, in milliseconds. */
  readonly rollbackEveryMs: number;
}

const STEP_MS = 50;

/** Time between two changes of the traffic, in milliseconds. */
const SHIFT_MS = 4000;

const POOL = {
  name: 'pool',
  engine: { slots: 10, kvTokens: 1e6, reservationMs: 2000, prefillLifeMs: 500, roleChangeMs: 0 },
};

const ENGINES = 12;

/** Runs the commanders of many VMs before one store and one pool of engines, on one manual clock. */
export class CommandSimulation {
  readonly orders: ReceivedOrder[] = [];

  private readonly clock = ManualClock.create(1_000_000);

  private readonly commanders: StageCommander[] = [];

  private readonly stages = Array.from({ length: ENGINES }, (_, index): Stage =>
    index % 2 === 0 ? 'prefill' : 'decode',
  );

  private era = 0;

  private claims = 0;

  private constructor(
    private readonly view: LeaderView,
    private readonly trouble: StoreTrouble,
    private readonly random: () => number,
  ) {}

  /**
   * Starts the commanders.
   *
   * @param count - number of VMs
   * @param view - which of them take themselves for the first
   * @param trouble - what goes wrong at the store
   * @param random - source of numbers from 0 to 1
   * @returns a running simulation
   */
  static async create(
    count: number,
    view: LeaderView,
    trouble: StoreTrouble,
    random: () => number,
  ): Promise<CommandSimulation> {
    const simulation = new CommandSimulation(view, trouble, random);
    for (let vm = 0; vm < count; vm += 1) {
      const commander = simulation.addVm(vm);
      simulation.commanders.push(commander);
      await commander.start();
    }
    return simulation;
  }

  /**
   * Lets time pass.
   *
   * @param ms - milliseconds
   */
  async advance(ms: number): Promise<void> {
    const { rollbackEveryMs } = this.trouble;
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await setImmediate();
      if ((passed + STEP_MS) % rollbackEveryMs === 0) this.rollBack();
    }
  }

  /** Stops the commanders. */
  async stop(): Promise<void> {
    await Promise.all(this.commanders.map((commander) => commander.stop()));
  }

  /** The store comes back from an older copy that lacks the newest claims. */
  private rollBack(): void {
    this.era += 1;
    this.claims = Math.floor(this.claims * this.random());
  }

  private addVm(vm: number): StageCommander {
    const { clock } = this;
    const kernel = Kernel.create();
    const readRank = () => (this.view(vm, clock.monotonicMs()) ? 0 : 1);
    const state = {
      ready: true,
      storeAgeMs: 0,
      get rank() {
        return readRank();
      },
    };
    registerFake(kernel, 'state', state);
    registerFake(kernel, 'fleet', { isDraining: false });
    registerFake(kernel, 'logs', { info: () => undefined });
    registerFake(kernel, 'metrics', { increment: () => undefined });
    registerFake(kernel, 'state-store', this.createStore());
    registerFake(kernel, 'relay', {
      configuration: { pools: [POOL] },
      costs: { average: () => this.costAt(clock.monotonicMs()) },
      catalog: { usable: () => this.stages.map((stage, index) => ({ id: `${index}`, stage })) },
      loads: { totalAt: () => ({ running: 0, kvTokens: 0, prefillTokens: 0 }) },
      health: { isAvoided: () => false },
    });
    registerFake(kernel, 'upstream', {
      orderStage: async ({ id }: { id: string }, stage: Stage, fence: number) => {
        await clock.sleep(this.random() * 100);
        this.orders.push({ vm, fence, atMs: clock.monotonicMs() });
        this.stages[Number(id)] = stage;
        return succeed(undefined);
      },
    });
    return StageCommander.create(kernel, `vm-${vm}`, LEASE_MS, clock);
  }

  private createStore(): object {
    const { clock } = this;
    let end = 0;
    const append = (): Outcome<StorePosition, StoreFailure> => {
      const at = end;
      const isTaken = at !== this.claims;
      if (!isTaken) this.claims += 1;
      end = this.claims;
      if (isTaken) return fail(CallFailure.create('conflict', 'another VM claimed first'));
      return succeed({ era: this.era, offset: at });
    };
    const readEra = () => this.era;
    return {
      get era() {
        return readEra();
      },
      claimCommand: async () => {
        await clock.sleep((this.random() * this.trouble.mostMs) / 2);
        const endBefore = end;
        const outcome = append();
        await clock.sleep((this.random() * this.trouble.mostMs) / 2);
        if (this.random() >= this.trouble.lostShare) return outcome;
        end = endBefore;
        return fail(CallFailure.create('unavailable', 'the answer was lost'));
      },
    };
  }

  /** Cost of the traffic, which changes all the time, so that roles are always to be changed. */
  private costAt(nowMs: number): object {
    const isLong = Math.floor(nowMs / SHIFT_MS) % 2 === 0;
    return { prefillMs: isLong ? 900 : 100, decodeMs: isLong ? 1000 : 9000, kvTokens: 1000 };
  }
}
