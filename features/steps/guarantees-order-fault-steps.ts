import { When, world } from '@cucumber/cucumber';

import { daemonOf } from '../../harness/find-daemon.js';
import { waitFor } from '../../harness/wait-for.js';
import { addYardDelay, waitForEffect, waitForRecord } from '../support/guarantees-order-phases.js';
import {
  EXECUTION_STREAMS,
  ORDER_TIMEOUT_MS,
  sendOrder,
  type OrderWorld,
} from '../support/guarantees-orders.js';

const scenario = world as unknown as OrderWorld;

/** Exceeds the log timeout of 2 s, so that the abandonment reaches the log before the append. */
const APPEND_DELAY_MS = 3500;

When(
  "a paint order is sent to daemon {int} while the log's append of the intent fails with {string} of {int} ms",
  async (daemon: number, kind: string, delayMs: number) => {
    await scenario.fleet.log.addFault({ path: EXECUTION_STREAMS, kind, count: 1, delayMs });
    await sendOrder(scenario, daemon).answer;
  },
);

When(
  "a paint order is sent to daemon {int} while the log's append of the outcome fails with {string} of {int} ms",
  async (daemon: number, kind: string, delayMs: number) => {
    await addYardDelay(scenario, 500);
    const order = sendOrder(scenario, daemon);
    await waitForEffect(scenario);
    await scenario.fleet.log.addFault({ path: EXECUTION_STREAMS, kind, count: 1, delayMs });
    await order.answer;
  },
);

When('the log of the paint orders is out', async () => {
  await scenario.fleet.log.addFault({ kind: 'unavailable' });
});

When(
  'the paint order is sent again to daemon {int} when the first was answered and the log works again',
  async (daemon: number) => {
    await scenario.sent[0]?.answer;
    await scenario.fleet.log.clearFaults();
    await sendOrder(scenario, daemon).answer;
  },
);

When(
  'a paint order is sent to daemon {int} whose append arrives after its abandonment',
  async (daemon: number) => {
    const log = daemonOf(scenario.fleet, daemon).links?.log;
    log?.delay('to-target', APPEND_DELAY_MS);
    const order = sendOrder(scenario, daemon);
    await waitFor('the append to reach the relay', () =>
      log?.hasPending(`POST ${EXECUTION_STREAMS}`),
    );
    log?.delay('to-target', 0);
    await waitForRecord(scenario, 'abandoned');
    await waitForRecord(scenario, 'intent');
    await order.answer;
  },
);

When(
  'a paint order is sent to daemon {int} while the yard servers fail with {string}',
  async (daemon: number, kind: string) => {
    await addYardFault(kind);
    await sendOrder(scenario, daemon).answer;
  },
);

When(
  'the paint order is sent again to daemon {int} when the first was answered and the yard works again',
  async (daemon: number) => {
    await Promise.all([...scenario.fleet.servers.values()].map((yard) => yard.clearFaults()));
    await sendOrder(scenario, daemon).answer;
  },
);

async function addYardFault(kind: string): Promise<void> {
  const { servers, serverLinks } = scenario.fleet;
  const yards = [...servers.values()];
  const links = [...serverLinks.values()];
  // A closed relay refuses connections, so it is certain that nothing was sent.
  if (kind === 'refused') await Promise.all(links.map((link) => link.close()));
  else if (kind === 'one refused') await links[0]?.close();
  else {
    const fault = { kind, delayMs: ORDER_TIMEOUT_MS * 2 };
    await Promise.all(yards.map((yard) => yard.addFault(fault)));
  }
}
