import { waitFor } from '../../harness/wait-for.js';
import { daemonOf } from '../../harness/find-daemon.js';
import {
  EXECUTION_STREAMS,
  readOrderEffects,
  readOrderRecords,
  sendOrder,
  type OrderWorld,
} from './guarantees-orders.js';

/** Delay of an answer that a fault withholds, in milliseconds; longer than any scenario waits. */
const ANSWER_DELAY_MS = 20_000;

/** Delay of the plain service's answer while a later phase is prepared, in milliseconds. */
const YARD_DELAY_MS = 600;

/** Sends the order to daemon 1 and resolves once it has verifiably reached the phase. */
type PhaseSetup = (world: OrderWorld) => Promise<void>;

/**
 * Phases of an order at which its daemon is killed or frozen, by their name in the feature file.
 */
export const ORDER_PHASES: Readonly<Record<string, PhaseSetup>> = {
  'before the intent': async (world) => {
    const { links } = daemonOf(world.fleet, 1);
    links?.log.silence();
    sendOrder(world, 1);
    const append = `POST ${EXECUTION_STREAMS}`;
    await waitFor('the append to reach the relay', () => links?.log.hasPending(append));
    await assertCounts(world, { intents: 0, effects: 0 });
  },
  'after the intent': async (world) => {
    await addLogDelay(world);
    sendOrder(world, 1);
    await waitForRecord(world, 'intent');
    await assertCounts(world, { intents: 1, effects: 0 });
  },
  'after the dispatch': async (world) => {
    await addYardDelay(world, ANSWER_DELAY_MS);
    sendOrder(world, 1);
    await waitForEffect(world);
    await assertCounts(world, { intents: 1, effects: 1 });
  },
  'before the answer': async (world) => {
    await addYardDelay(world, YARD_DELAY_MS);
    sendOrder(world, 1);
    await waitForEffect(world);
    await addLogDelay(world);
    await waitForRecord(world, 'outcome');
  },
};

/**
 * Waits until the log contains a record of the order.
 *
 * @param world - the scenario
 * @param kind - kind of the record
 */
export async function waitForRecord(world: OrderWorld, kind: string): Promise<void> {
  await waitFor(`a record of kind ${kind}`, async () =>
    (await readOrderRecords(world)).some((record) => record.kind === kind),
  );
}

/**
 * Waits until a yard server has recorded the effect of the order.
 *
 * @param world - the scenario
 */
export async function waitForEffect(world: OrderWorld): Promise<void> {
  await waitFor('the effect of the order', async () => (await readOrderEffects(world)).length > 0);
}

/**
 * Delays the next answer of every yard server.
 *
 * @param world - the scenario
 * @param delayMs - delay between the effect and the answer, in milliseconds
 */
export async function addYardDelay(world: OrderWorld, delayMs: number): Promise<void> {
  const yards = [...world.fleet.servers.values()];
  await Promise.all(yards.map((yard) => yard.addFault({ kind: 'delay', count: 1, delayMs })));
}

/** Delays the answer to the next append, which itself takes effect at once. */
function addLogDelay(world: OrderWorld): Promise<void> {
  const fault = { path: EXECUTION_STREAMS, kind: 'delay', count: 1, delayMs: ANSWER_DELAY_MS };
  return world.fleet.log.addFault(fault);
}

async function assertCounts(
  world: OrderWorld,
  expected: { readonly intents: number; readonly effects: number },
): Promise<void> {
  const records = await readOrderRecords(world);
  const effects = await readOrderEffects(world);
  const seen = {
    intents: records.filter(({ kind }) => kind === 'intent').length,
    effects: effects.length,
  };
  const outcomes = records.filter(({ kind }) => kind === 'outcome').length;
  if (seen.intents === expected.intents && seen.effects === expected.effects && outcomes === 0) {
    return;
  }
  throw new Error(
    `the order is not in the expected phase: ${JSON.stringify({ ...seen, outcomes })}`,
  );
}
