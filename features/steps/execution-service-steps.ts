import assert from 'node:assert/strict';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { createIdempotencyKey } from '../../harness/idempotency-key.js';
import { registerFake } from '../../harness/module-fakes.js';
import type { Route } from '../../src/domain/route.js';
import { RoutedServiceExecution } from '../../src/execution/routed-service-execution.js';
import { succeed } from '../../src/kernel/outcome.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { FakeLog } from '../support/fake-log.js';
import { createFakeServices, type FakeServices } from '../support/fake-services.js';
import { createServiceRequest, ORDER_ROUTE } from '../support/service-requests.js';

interface RoutedServiceWorld {
  routed?: {
    fakes: FakeServices;
    execution: RoutedServiceExecution;
    route: Route;
    /** For each request that was sent, the tokens with which the grants were settled by then. */
    sent: (readonly number[])[];
  };
}

const scenario = world as unknown as RoutedServiceWorld;

const REPLY = { status: 200, headers: {}, body: Buffer.from('done'), draining: false };

/** A log that makes the first debit too old to send while an intent is appended. */
function createSlowLog({ grants }: FakeServices): FakeLog {
  const log = FakeLog.create();
  const append = log.append.bind(log);
  return Object.assign(log, {
    append: (stream: string, records: readonly string[]) => {
      Object.assign(grants[0]!, { sendable: () => false });
      return append(stream, records);
    },
  });
}

After(async () => {
  await scenario.routed?.fakes.kernel.stop();
});

Given(
  /^a routed service whose requests (may|may not) be repeated(?: and whose debit becomes too old (\d+) times)?$/,
  async (may: string, times: string | null) => {
    const fakes = createFakeServices([]);
    const { kernel, settings, grants } = fakes;
    const sent: (readonly number[])[] = [];
    const send = async () => {
      sent.push(grants.flatMap(({ settled }) => settled));
      return succeed(REPLY);
    };
    registerFake(kernel, 'log', createSlowLog(fakes));
    registerFake(kernel, 'backends', { service: () => ({ send }) });
    registerFake(kernel, 'routing', {
      chooseService: () => ({ name: 'yard1' }),
      observeDraining: () => undefined,
    });
    const execution = RoutedServiceExecution.create(kernel, settings, SystemClock.create());
    kernel.register('service-execution', execution);
    await kernel.start();
    const repeatable = may === 'may';
    // Without an intent, the first debit is too old as soon as it has been made.
    fakes.unsendable = repeatable ? 1 : 0;
    fakes.renewals = Number(times ?? 1);
    scenario.routed = { fakes, execution, route: { ...ORDER_ROUTE, repeatable }, sent };
  },
);

When('the routed service gets a request', async () => {
  const { execution, route } = scenario.routed!;
  const request = createServiceRequest(createIdempotencyKey());
  const outcome = await execution.run(request, route, new AbortController().signal);
  assert.equal(outcome.kind === 'ok' && outcome.value.body, REPLY.body);
});

Then('the routed service was sent 1 request, paid by debit {int} only', (number: number) => {
  const unused = Array.from({ length: number - 1 }, () => 0);
  assert.deepEqual(scenario.routed!.sent, [[...unused, ORDER_ROUTE.tokens]]);
});
