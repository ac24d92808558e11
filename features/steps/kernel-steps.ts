import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';

import { Channel } from '../../src/kernel/channel.js';
import { BrokenInvariant } from '../../src/kernel/invariant.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { Service, type Services } from '../../src/kernel/service.js';

interface KernelWorld {
  kernel: Kernel;
  calls: string[];
  seen: string[];
}

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

Given('a kernel with the services {string}', function given(this: KernelWorld, names: string) {
  this.kernel = Kernel.create();
  this.calls = [];
  names.split(', ').forEach((name) => {
    this.kernel.register(name as keyof Services, createRecordingService(name, this.calls));
  });
});

When('the kernel starts and stops', async function when(this: KernelWorld) {
  await this.kernel.start();
  await this.kernel.stop();
});

Then('the services did {string}', function then(this: KernelWorld, calls: string) {
  assert.equal(this.calls.join(', '), calls);
});

Then('looking up {string} breaks an invariant', function then(this: KernelWorld, name: string) {
  assert.throws(() => this.kernel.find(name as keyof Services), BrokenInvariant);
});

When(
  'a channel gets the values {string}, is subscribed, and gets {string}',
  async function when(this: KernelWorld, early: string, late: string) {
    const channel = Channel.create<string>();
    this.seen = [];
    early.split(', ').forEach((value) => channel.push(value));
    const done = channel.stream().forEach((value) => this.seen.push(value));
    channel.push(late);
    channel.end();
    await done;
  },
);

Then('the subscriber saw {string}', function then(this: KernelWorld, values: string) {
  assert.equal(this.seen.join(', '), values);
});
