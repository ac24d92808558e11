import { setImmediate as flush } from 'node:timers/promises';

import { createMember, ORDINARY_PRESET, registerFake, ZONES } from '../../harness/module-fakes.js';
import { SharedAdmission } from '../../src/admission/shared-admission.js';
import type { Admission } from '../../src/admission/admission.js';
import type { Grant } from '../../src/admission/grant.js';
import type { ConfigurationState } from '../../src/configuration/configuration.js';
import type { Refusal } from '../../src/domain/refusal.js';
import type { Preset } from '../../src/domain/route.js';
import type { Team } from '../../src/domain/team.js';
import type { Address } from '../../src/domain/vm.js';
import { Channel } from '../../src/kernel/channel.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { ManualClock } from '../../src/kernel/manual-clock.js';
import type { Outcome } from '../../src/kernel/outcome.js';
import type { Services } from '../../src/kernel/service.js';
import type { Member, MemberEpoch } from '../../src/membership/membership.js';
import type { PeerHandlers } from '../../src/peers/peers.js';
import { findOverspentWindows } from './spent-windows.js';

/**
 * How calls to a VM fail. With `lost-answer`, the next call is executed but its answer is lost,
 * once.
 */
export type PeerFault = 'refused' | 'silent' | 'lost-answer';

/** A VM of the fleet, with fakes in place of the other modules. */
export interface FleetVm {
  readonly member: Member;
  readonly admission: SharedAdmission;
  readonly kernel: Kernel;
  readonly changes: Channel<MemberEpoch>;
  readonly reincarnations: Channel<Member>;
  readonly configured: Channel<ConfigurationState>;
  handlers: PeerHandlers;
  fault: PeerFault | undefined;
  lease: boolean;
  /** Number of requests of this VM that run on the servers. */
  running: number;
  epoch: number;
}

/** Outcome of one request. */
export interface FleetResult {
  readonly vm: string;
  readonly team: string;
  /** Tokens that the request uses when it runs. */
  readonly tokens: number;
  readonly askedMs: number;
  readonly endedMs: number;
  /** `admitted`, or the refusal code. */
  readonly code: string;
  readonly sendable: boolean;
  readonly grant: Grant | undefined;
  readonly refusal: Refusal | undefined;
}

type Handler = (call: object) => Promise<Record<string, unknown>>;

/** Several SharedAdmission instances in one process that share a manual clock. */
export class AdmissionFleet {
  readonly clock = ManualClock.create(1_000_000);

  readonly vms: FleetVm[] = [];

  readonly results: FleetResult[] = [];

  readonly decisions: { requestId: string; choice: string }[] = [];

  readonly gauges = new Map<string, number>();

  /** Number of debit calls by caller and home. */
  readonly debitCalls = new Map<string, number>();

  headroom = 1_000_000;

  /** One-way latency of calls between VMs, in milliseconds. */
  callMs = 1;

  prefillTokensPerMs = Infinity;

  private epochs: MemberEpoch[] = [];

  private readonly teams = new Map<string, Team>();

  private preset = ORDINARY_PRESET;

  private version = 1;

  private nextRequest = 0;

  /** Creates a fleet that has run long enough for the buckets to be full. */
  static async create(
    count: number,
    teams: readonly Team[],
    homeCount = 2,
  ): Promise<AdmissionFleet> {
    const fleet = new AdmissionFleet();
    teams.forEach((team) => fleet.teams.set(team.name, team));
    const members = Array.from({ length: count }, (_, index) => createFleetMember(index + 1));
    fleet.epochs.push({ epoch: 1, members });
    for (const member of members) await fleet.startVm(member, homeCount);
    await fleet.advance(10_000, 500);
    return fleet;
  }

  /**
   * Finds the VM at a place: the homes of the team in order (from 0), then the VMs that are not
   * homes.
   */
  findByPlace(team: string, place: number): FleetVm {
    const homes = this.vms[0]!.admission.homes(team);
    const others = this.vms.map((vm) => vm.member.vm).filter((name) => !homes.includes(name));
    const name = [...homes, ...others][place]!;
    return this.vms.find((vm) => vm.member.vm === name)!;
  }

  /** Advances the clock in small steps and lets the tasks run after each. */
  async advance(ms: number, stepMs = 2): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      await flush();
    }
  }

  /** Lets the tasks run without advancing the clock. */
  async flushTasks(): Promise<void> {
    this.clock.advance(0);
    await flush();
  }

  /** Sends a request. With `runMs`, its grant is settled after that time. */
  async ask(
    vm: FleetVm,
    team: string,
    tokens: number,
    options: { model?: string; runMs?: number; used?: number; fingerprint?: string } = {},
  ): Promise<FleetResult> {
    this.nextRequest += 1;
    const askedMs = this.clock.monotonicMs();
    const outcome = await vm.admission.admit({
      requestId: `request-${this.nextRequest}`,
      team,
      model: options.model,
      promptTokens: tokens,
      maxTokens: 0,
      fingerprint: options.fingerprint ?? `fingerprint-${this.nextRequest}`,
      arrivedMs: askedMs,
      signal: new AbortController().signal,
    });
    const result = this.recordResult(vm, team, options.used ?? tokens, askedMs, outcome);
    if (result.grant && options.runMs !== undefined) {
      Object.assign(vm, { running: vm.running + 1 });
      void this.clock.sleep(options.runMs).then(() => {
        Object.assign(vm, { running: vm.running - 1 });
        result.grant!.settle(options.used ?? tokens);
        vm.admission.capacityChanged();
      });
    }
    return result;
  }

  /** Applies another configuration on all VMs. */
  configure(change: { team?: Team; removed?: string; preset?: Partial<Preset> }): void {
    if (change.team) this.teams.set(change.team.name, change.team);
    if (change.removed) this.teams.delete(change.removed);
    if (change.preset) this.preset = { ...this.preset, ...change.preset };
    this.version += 1;
    this.vms.forEach((vm) => vm.configured.push(this.state()));
  }

  /** Adds a VM. The others learn of it when they apply the epoch. */
  async join(index: number): Promise<FleetVm> {
    const member = createFleetMember(index);
    this.append([...this.members(), member]);
    return this.startVm(member, 2);
  }

  /** Removes a VM from the member list. It keeps running without a lease, as after a suspension. */
  fence(vm: FleetVm): void {
    Object.assign(vm, { lease: false });
    this.append(this.members().filter((member) => member !== vm.member));
  }

  /** Kills a VM without a shutdown notice and removes it from the member list. */
  async remove(vm: FleetVm): Promise<void> {
    this.fence(vm);
    Object.assign(vm, { fault: 'refused' });
    await vm.admission.stop();
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  /** Makes VMs apply the latest epoch. */
  applyLatestEpoch(vms: readonly FleetVm[] = this.vms): void {
    const epoch = this.epochs.at(-1)!;
    vms.forEach((vm) => {
      if (vm.epoch === epoch.epoch) return;
      Object.assign(vm, { epoch: epoch.epoch });
      vm.changes.push(epoch);
    });
  }

  /**
   * Lists the time windows in which a team was admitted more tokens than its rate and burst allow.
   */
  findExcess(team: Team, fromMs = 0): readonly string[] {
    const sent = this.results
      .filter(
        ({ team: name, sendable, endedMs }) => name === team.name && sendable && endedMs >= fromMs,
      )
      .map(({ endedMs, tokens }) => ({ atMs: endedMs, tokens }));
    const { rate, burst } = team;
    return findOverspentWindows(sent, (first, last) => burst + (rate * (last - first)) / 1000);
  }

  /** Stops all VMs. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.admission.stop()));
  }

  private async startVm(member: Member, homeCount: number): Promise<FleetVm> {
    const kernel = Kernel.create();
    const vm: FleetVm = {
      member,
      kernel,
      admission: SharedAdmission.create(kernel, { rates: { homeCount } }, this.clock),
      changes: Channel.create<MemberEpoch>(),
      reincarnations: Channel.create<Member>(),
      configured: Channel.create<ConfigurationState>(),
      handlers: {},
      fault: undefined,
      lease: true,
      running: 0,
      epoch: this.epochs.length,
    };
    this.vms.push(vm);
    this.registerFakes(vm);
    await vm.admission.start();
    return vm;
  }

  private registerFakes(vm: FleetVm): void {
    const register = (name: keyof Services, fake: object) => registerFake(vm.kernel, name, fake);
    register('membership', {
      self: () => vm.member,
      joined: () => true,
      current: () => this.epochs[vm.epoch - 1]!,
      history: () => this.history(vm),
      changes: () => vm.changes.stream(),
      reincarnations: () => vm.reincarnations.stream(),
      leaseLive: () => vm.lease,
      confirmedEpoch: () => 0,
      askEpoch: async (member: Member) => this.askEpoch(member),
      hasEnded: async (sender: { vm: string }) =>
        !this.members().some((member) => member.vm === sender.vm),
    });
    register('configuration', {
      current: () => this.state(),
      changes: () => vm.configured.stream(),
    });
    register('peers', {
      handle: (handlers: PeerHandlers) => Object.assign(vm, { handlers }),
      client: (address: Address) => this.createClient(vm, address),
    });
    register('routing', {
      headroom: () => this.headroom - vm.running,
      decodeSlots: () => this.headroom,
      prefillWaitMs: (_model: string, tokens = 0) => tokens / this.prefillTokensPerMs,
    });
    register('metrics', {
      increment: () => undefined,
      gauge: (name: string, value: number) => this.gauges.set(name, value),
      timing: () => undefined,
    });
    register('decisions', {
      record: (entry: { requestId: string; choice: string }) => this.decisions.push(entry),
    });
    register('admission', vm.admission satisfies Admission);
  }

  private state(): ConfigurationState {
    return {
      version: this.version,
      teams: this.teams,
      presets: new Map([[this.preset.name, this.preset]]),
      presetInForce: this.preset.name,
    } as unknown as ConfigurationState;
  }

  private history(vm: FleetVm): readonly MemberEpoch[] {
    const { members } = this.epochs[vm.epoch - 1]!;
    const present = this.vms.filter((other) => members.includes(other.member));
    const oldest = Math.min(...present.map((other) => other.epoch));
    return this.epochs.slice(Math.min(oldest, vm.epoch) - 1, vm.epoch);
  }

  private async askEpoch(member: Member): Promise<number> {
    await this.clock.sleep(2);
    const vm = this.vms.find((other) => other.member === member);
    return vm && !vm.fault ? vm.epoch : 0;
  }

  private members(): readonly Member[] {
    return this.epochs.at(-1)!.members;
  }

  private append(members: readonly Member[]): void {
    this.epochs.push({ epoch: this.epochs.length + 1, members });
  }

  private createClient(caller: FleetVm, address: Address): object {
    const call = (name: 'debit' | 'refund' | 'reportDeaths') => (body: object) => {
      if (name === 'debit') this.countDebit(`${caller.member.vm} ${address.port}`);
      return this.call(address, name, body);
    };
    return { debit: call('debit'), refund: call('refund'), reportDeaths: call('reportDeaths') };
  }

  private countDebit(pair: string): void {
    this.debitCalls.set(pair, (this.debitCalls.get(pair) ?? 0) + 1);
  }

  private async call(
    address: Address,
    name: 'debit' | 'refund' | 'reportDeaths',
    body: object,
  ): Promise<object> {
    await this.clock.sleep(this.callMs);
    const vm = this.vms.find((other) => other.member.peers.port === address.port);
    if (!vm || vm.fault === 'refused') throw new Error('connection refused');
    if (vm.fault === 'silent') return this.clock.sleep(Infinity).then(() => ({}));
    const answer = await (vm.handlers[name] as unknown as Handler)(body);
    await this.clock.sleep(this.callMs);
    if (vm.fault === 'lost-answer') {
      Object.assign(vm, { fault: undefined });
      throw new Error('connection reset');
    }
    return answer;
  }

  private recordResult(
    vm: FleetVm,
    team: string,
    tokens: number,
    askedMs: number,
    outcome: Outcome<Grant, Refusal>,
  ): FleetResult {
    const grant = outcome.kind === 'ok' ? outcome.value : undefined;
    const refusal = outcome.kind === 'failed' ? outcome.failure : undefined;
    const code = refusal?.code ?? 'admitted';
    const endedMs = this.clock.monotonicMs();
    const sendable = grant?.sendable() ?? false;
    const asked = { vm: vm.member.vm, team, tokens, askedMs };
    const result = { ...asked, endedMs, code, sendable, grant, refusal };
    this.results.push(result);
    return result;
  }
}

function createFleetMember(index: number): Member {
  const fields = { incarnation: `${index}`, availabilityZone: ZONES[index % ZONES.length] };
  return createMember(`vm-${index}`, fields, { host: '127.0.0.1', port: index });
}
