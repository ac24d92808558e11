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
/** Maximum concurrent calls to members; at the design size one round takes about 13 batches. */
const MAX_CONCURRENT_CALLS = 32;

/** Reads the status of this daemon and queries that of the other members. */
export class FleetStatus {
  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a reader.
   *
   * @param kernel - locates membership, configuration and the caller listener
   * @param clock - measures waits
   * @returns a new reader
   */
  static create(kernel: Kernel, clock: Clock): FleetStatus {
    return new FleetStatus(kernel, clock);
  }

  /**
   * Reads the status of this daemon.
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
   * Reads the status of every member.
   *
   * @param authorization - Authorization header of the operator's call, forwarded to the members
   * @returns a status for each member and this daemon, sorted by VM name
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
   * Waits until every member has applied a configuration version. A member that has applied it is
   * not queried again, because the version of an incarnation never decreases.
   *
   * @param version - version to wait for, which is an offset of the log
   * @param timeoutMs - maximum wait, in milliseconds
   * @param authorization - Authorization header of the operator's call, forwarded to the members
   * @returns the names of the VMs that have not applied it; empty when the version is in force
   */
  async waitForVersion(
    version: bigint,
    timeoutMs: number,
    authorization: string,
  ): Promise<string[]> {
    const clients = MemberClients.create(authorization);
    const deadlineMs = this.clock.monotonicMs() + timeoutMs;
    const upToDate = new Set<string>();
    let outdated = await this.listOutdated(clients, version, deadlineMs, upToDate);
    while (outdated.length > 0 && this.clock.monotonicMs() < deadlineMs) {
      await this.clock.sleep(Math.min(POLL_INTERVAL_MS, deadlineMs - this.clock.monotonicMs()));
      outdated = await this.listOutdated(clients, version, deadlineMs, upToDate);
    }
    clients.close();
    return outdated;
  }

  private async listOutdated(
    clients: MemberClients,
    version: bigint,
    deadlineMs: number,
    upToDate: Set<string>,
  ): Promise<string[]> {
    const remainingMs = Math.max(50, Math.trunc(deadlineMs - this.clock.monotonicMs()));
    const isOutdated = (status: VmStatus) =>
      !status.reachable || status.configurationVersion < version;
    const queried = this.listOthers().filter((member) => !upToDate.has(formatIncarnation(member)));
    const others = await mapConcurrently(queried, MAX_CONCURRENT_CALLS, async (member) => {
      const status = await readMember(clients, member, Math.min(CALL_TIMEOUT_MS, remainingMs));
      if (!isOutdated(status)) upToDate.add(formatIncarnation(member));
      return status;
    });
    return [this.readLocal(), ...others].filter(isOutdated).map((status) => status.vm);
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
    return status ?? createStatus(member, { reason: 'the response contains no status' });
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
