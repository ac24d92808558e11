import { create, type MessageInitShape } from '@bufbuild/protobuf';

import { formatIncarnation } from '../domain/vm.js';
import { type VmStatus, VmStatusSchema } from '../gen/cuminspar/operator/v1/operator_pb.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Member } from '../membership/membership.js';
import { mapConcurrently } from './map-concurrently.js';
import { MemberClients } from './member-clients.js';

const CALL_TIMEOUT_MS = 1500;
const POLL_INTERVAL_MS = 100;
/** Most calls to members at a time; at the design size one round takes about 13 batches. */
const MAX_CONCURRENT_CALLS = 32;

/** Reads the state of this daemon and asks the other members for theirs. */
export class FleetStatus {
  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a reader.
   *
   * @param kernel - where membership, configuration and callers are found
   * @param clock - for waits
   * @returns a new reader
   */
  static create(kernel: Kernel, clock: Clock): FleetStatus {
    return new FleetStatus(kernel, clock);
  }

  /**
   * Reads the state of this daemon.
   *
   * @returns its status
   */
  readLocal(): VmStatus {
    const membership = this.kernel.find('membership');
    const state = this.kernel.find('configuration').current();
    const callers = this.kernel.find('callers');
    const reason = callers.unreadyReason();
    return createStatus(membership.self(), {
      reachable: true,
      ready: reason === undefined,
      draining: reason === 'draining',
      epoch: BigInt(membership.current().epoch),
      configurationVersion: BigInt(state?.version ?? 0),
      preset: state?.presetInForce ?? '',
      activeRequests: callers.active(),
      reason: reason ?? '',
    });
  }

  /**
   * Reads the state of every member.
   *
   * @param authorization - header of the operator's call, passed on to the members
   * @returns a status for each member and this daemon, in order of name
   */
  async readAll(authorization: string): Promise<VmStatus[]> {
    const clients = MemberClients.create(authorization);
    const statuses = await mapConcurrently(this.listOthers(), MAX_CONCURRENT_CALLS, (member) =>
      readMember(clients, member, CALL_TIMEOUT_MS),
    );
    clients.close();
    return [this.readLocal(), ...statuses].sort((left, right) => (left.vm < right.vm ? -1 : 1));
  }

  /**
   * Waits until every member has folded a version. A member that has is not asked again, because
   * the version of an incarnation never goes back.
   *
   * @param version - offset that is to be in force
   * @param timeoutMs - longest wait, in milliseconds
   * @param authorization - header of the operator's call, passed on to the members
   * @returns the names of the members that are behind; empty when the version is in force
   */
  async waitForVersion(
    version: bigint,
    timeoutMs: number,
    authorization: string,
  ): Promise<string[]> {
    const clients = MemberClients.create(authorization);
    const deadlineMs = this.clock.monotonicMs() + timeoutMs;
    const reached = new Set<string>();
    let behind = await this.listBehind(clients, version, deadlineMs, reached);
    while (behind.length > 0 && this.clock.monotonicMs() < deadlineMs) {
      await this.clock.sleep(Math.min(POLL_INTERVAL_MS, deadlineMs - this.clock.monotonicMs()));
      behind = await this.listBehind(clients, version, deadlineMs, reached);
    }
    clients.close();
    return behind;
  }

  private async listBehind(
    clients: MemberClients,
    version: bigint,
    deadlineMs: number,
    reached: Set<string>,
  ): Promise<string[]> {
    const leftMs = Math.max(50, Math.trunc(deadlineMs - this.clock.monotonicMs()));
    const isBehind = (status: VmStatus) =>
      !status.reachable || status.configurationVersion < version;
    const asked = this.listOthers().filter((member) => !reached.has(formatIncarnation(member)));
    const others = await mapConcurrently(asked, MAX_CONCURRENT_CALLS, async (member) => {
      const status = await readMember(clients, member, Math.min(CALL_TIMEOUT_MS, leftMs));
      if (!isBehind(status)) reached.add(formatIncarnation(member));
      return status;
    });
    return [this.readLocal(), ...others].filter(isBehind).map((status) => status.vm);
  }

  private listOthers(): readonly Member[] {
    const membership = this.kernel.find('membership');
    const self = membership.self().vm;
    return membership.current().members.filter((member) => member.vm !== self);
  }
}

async function readMember(
  clients: MemberClients,
  member: Member,
  timeoutMs: number,
): Promise<VmStatus> {
  try {
    const response = await clients.open(member.operators).status({ local: true }, { timeoutMs });
    const [status] = response.vms;
    return status ?? createStatus(member, { reason: 'no status in the answer' });
  } catch (error) {
    return createStatus(member, { reason: `unreachable: ${(error as Error).message}` });
  }
}

function createStatus(
  member: Member,
  fields: Omit<MessageInitShape<typeof VmStatusSchema>, '$typeName'>,
): VmStatus {
  const { vm, availabilityZone, incarnation } = member;
  return create(VmStatusSchema, { vm, availabilityZone, incarnation, ...fields });
}
