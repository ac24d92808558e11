import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { Channel } from '../../src/kernel/channel.js';
import { BrokenInvariant } from '../../src/kernel/invariant.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { Service, type Services } from '../../src/kernel/service.js';

interface KernelWorld {
  kernel: Kernel;
  calls: string[];
  received: string[];
}

const scenario = world as unknown as KernelWorld;

function createRecordingService(name: string, calls: string[]): Service {
  return new (class extends Service {
    override async start(): Promise<void> {
      calls.push(`start ${name}`);
    }

    override async stop(): Promise<void> {
      calls.push(`stop ${name}`);
    }
  })();
}

Given('a kernel with the services {string}', (names: string) => {
  scenario.kernel = Kernel.create();
  scenario.calls = [];
  names.split(', ').forEach((name) => {
    scenario.kernel.register(name as keyof Services, createRecordingService(name, scenario.calls));
  });
});

When('the kernel starts and stops', async () => {
  await scenario.kernel.start();
  await scenario.kernel.stop();
});

Then('the calls to the services are {string}', (calls: string) => {
  assert.equal(scenario.calls.join(', '), calls);
});

Then('looking up {string} breaks an invariant', (name: string) => {
  assert.throws(() => scenario.kernel.find(name as keyof Services), BrokenInvariant);
});

When(
  'the values {string} are pushed into a channel before a subscription, and {string} after it',
  async (early: string, late: string) => {
    const channel = Channel.create<string>();
    scenario.received = [];
    early.split(', ').forEach((value) => channel.push(value));
    const done = channel.stream().forEach((value) => scenario.received.push(value));
    channel.push(late);
    channel.end();
    await done;
  },
);

Then('the subscriber receives {string}', (values: string) => {
  assert.equal(scenario.received.join(', '), values);
});
