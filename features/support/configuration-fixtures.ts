import type { Address } from '../../src/domain/vm.js';
import type { Kernel } from '../../src/kernel/kernel.js';
import { Service, type Services } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { type Settings, settingsSchema } from '../../src/settings/schema.js';

const clock = SystemClock.create();

/** Waits for a condition; fails after the deadline. */
export async function waitFor(
  what: string,
  condition: () => boolean,
  deadlineMs = 5000,
): Promise<void> {
  const endMs = clock.monotonicMs() + deadlineMs;
  while (!condition()) {
    if (clock.monotonicMs() > endMs) throw new Error(`not within ${deadlineMs} ms: ${what}`);
    await clock.sleep(5);
  }
}

/** Registers an object that has only the methods that a test needs. */
export function registerFake(kernel: Kernel, name: keyof Services, fake: object): void {
  if (fake instanceof Service) kernel.register(name, fake);
  else kernel.register(name, Object.assign(new (class extends Service {})(), fake));
}

/** Makes a member; its listeners share one address unless it has an own one for operators. */
export function createMember(vm: string, address: Address, operators = address): object {
  return {
    name: vm,
    vm,
    incarnation: `${vm}-1`,
    region: 'tt-south',
    availabilityZone: 'sando',
    peers: address,
    callers: address,
    operators,
  };
}

/** Makes valid settings; fields can be replaced. */
export function createSettingsInput(changed: object = {}): object {
  return {
    vm: { name: 'entry-1', region: 'tt-south', availabilityZone: 'sando' },
    callers: { host: '127.0.0.1', port: 8080 },
    peers: { host: '127.0.0.1', port: 8081 },
    operators: { host: '127.0.0.1', port: 8082, tokenSha256: '0'.repeat(64) },
    platform: {
      log: { urls: ['http://127.0.0.1:9001'] },
      vmList: { url: 'http://127.0.0.1:9002' },
    },
    ...changed,
  };
}

/** Makes settings with a snapshot period in milliseconds. */
export function createSettings(everyMs: number): Settings {
  return settingsSchema.parse(createSettingsInput({ snapshots: { everyMs } }));
}
