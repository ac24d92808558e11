import type { Preset } from '../src/domain/route.js';
import type { Address } from '../src/domain/vm.js';
import type { Kernel } from '../src/kernel/kernel.js';
import { Service, type Services } from '../src/kernel/service.js';
import type { Member } from '../src/membership/membership.js';

/** Availability zones of one region. */
export const ZONES = ['sando', 'couva', 'penal'] as const;

/** The default preset, with the latency targets of the design. */
export const ORDINARY_PRESET: Preset = {
  ...{ name: 'ordinary', rateFactor: 1, queueMs: 1000, firstTokenMs: 330, betweenTokensMs: 78 },
  ...{ affinityTokens: 4096, reservedSlots: 0, maintenance: false },
};

/**
 * Registers a fake service that has only the given members.
 *
 * @param kernel - registry of services
 * @param name - name of the service
 * @param members - members that the module under test uses
 */
export function registerFake(kernel: Kernel, name: keyof Services, members: object): void {
  kernel.register(name, members instanceof Service ? members : createFake(members));
}

/**
 * Creates a fake service from the given members; getters are copied as getters.
 *
 * @param members - members that the test needs
 * @returns the service
 */
export function createFake<Members extends object>(members: Members): Service & Members {
  const fake = new (class extends Service {})();
  return Object.defineProperties(fake, Object.getOwnPropertyDescriptors(members)) as Service &
    Members;
}

/**
 * Creates a member whose listeners share one address.
 *
 * @param vm - name of the VM
 * @param fields - fields that replace the defaults: incarnation 1 in the first zone
 * @param address - address of all its listeners
 * @returns the member
 */
export function createMember(
  vm: string,
  fields: Partial<Member> = {},
  address: Address = { host: '127.0.0.1', port: 1 },
): Member {
  return {
    ...{ name: vm, vm, incarnation: '1', region: 'tt-south', availabilityZone: ZONES[0] },
    ...{ peers: address, callers: address, operators: address },
    ...fields,
  };
}
