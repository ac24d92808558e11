import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import {
  createPlatformConfiguration,
  PLATFORM_HOST,
  PLATFORM_KEY,
} from '../../harness/platform-fixtures.js';
import type { PlatformLog } from '../../stand-ins/platform/platform-log.js';
import type { Disturbances } from './disturbances.js';
import type { SoakVm } from './soak-vm.js';

/** A request for an added route, sent to one VM. */
export interface RouteProbe {
  readonly host: string;
  readonly version: number;
  /** Wall-clock time at which the store had acknowledged the version. */
  readonly acknowledgedMs: number;
  readonly sentMs: number;
  /** Status of the answer; 0 when there was none. */
  readonly status: number;
}

/** Time within which a version is in force on a VM in touch, and with an unstable store, in milliseconds. */
const APPLY_MS = 2000;
const UNSTABLE_APPLY_MS = 7000;

/** Time without disturbance after which a VM, or the store, is in touch, in milliseconds. */
const STABLE_MS = 3000;

/** When a version is asked for, in milliseconds after its acknowledgement. */
const PROBES_MS = [APPLY_MS, 3000, 4000, 5500, UNSTABLE_APPLY_MS];

/** Number of added routes that a configuration has at most. */
const MAX_ADDED = 12;

const CHANGE_INTERVAL_MS = 700;

const PROBE_TIMEOUT_MS = 2000;

/** Statuses of a VM that does not know a route or a key. */
const UNKNOWN_STATUSES = new Set([401, 403, 404]);

/** Adds a route in each version of the configuration, and asks all VMs for it later. */
export class Operator {
  readonly probes: RouteProbe[] = [];

  private version = 3;

  private added: number[] = [];

  private constructor(
    private readonly store: PlatformLog,
    private readonly vms: () => readonly SoakVm[],
  ) {}

  /**
   * Creates an operator that has written nothing yet.
   *
   * @param store - store of the configurations
   * @param vms - lists the VMs
   * @returns the operator
   */
  static create(store: PlatformLog, vms: () => readonly SoakVm[]): Operator {
    return new Operator(store, vms);
  }

  /** Writes a configuration with one more route; has no effect while the store is unavailable. */
  change(): void {
    if (this.store.isUnavailable) return;
    this.version += 7;
    const { version } = this;
    this.added = [...this.added, version].slice(-MAX_ADDED);
    const configuration = createPlatformConfiguration();
    const [, template] = configuration.routes;
    const routes = this.added.map((number) => ({
      ...template,
      name: `added-${number}`,
      pathPrefix: `/added-${number}/`,
      kind: 'safe',
    }));
    this.store.put('keyed.op', 'config', {
      ...configuration,
      version,
      routes: [...configuration.routes, ...routes],
    });
    void this.probeLater(version, Date.now());
  }

  /**
   * Changes the configuration again and again.
   *
   * @param isRunning - returns false when no further change is to be made
   */
  async run(isRunning: () => boolean): Promise<void> {
    while (isRunning()) {
      this.change();
      await delay(CHANGE_INTERVAL_MS);
    }
    await delay(UNSTABLE_APPLY_MS + PROBE_TIMEOUT_MS);
  }

  /**
   * Finds probes that were refused although the version had been acknowledged for long enough.
   *
   * @param disturbances - when VMs and the store were disturbed
   * @returns one line for each
   */
  findViolations(disturbances: Disturbances): string[] {
    return this.probes
      .filter(({ status }) => UNKNOWN_STATUSES.has(status))
      .filter(({ host, acknowledgedMs, sentMs }) => {
        const sinceMs = sentMs - STABLE_MS;
        if (disturbances.has(host, sinceMs, sentMs + PROBE_TIMEOUT_MS)) return false;
        if (!disturbances.has('store', sinceMs, sentMs)) return true;
        const isMild = !disturbances.has('store', acknowledgedMs - STABLE_MS, sentMs, 'severe');
        return isMild && sentMs >= acknowledgedMs + UNSTABLE_APPLY_MS;
      })
      .map(({ host, version, acknowledgedMs, sentMs, status }) => {
        const lateMs = sentMs - acknowledgedMs;
        const at = new Date(sentMs).toISOString();
        return `${host} answered ${status} for version ${version} ${lateMs} ms after its acknowledgement, at ${at}`;
      });
  }

  private async probeLater(version: number, acknowledgedMs: number): Promise<void> {
    await Promise.all(
      PROBES_MS.map(async (ms) => {
        await delay(acknowledgedMs + ms - Date.now());
        if (!this.added.includes(version)) return;
        await Promise.all(this.vms().map((vm) => this.probe(vm, version, acknowledgedMs)));
      }),
    );
  }

  private async probe(
    { host, ports }: SoakVm,
    version: number,
    acknowledgedMs: number,
  ): Promise<void> {
    const sentMs = Date.now();
    const headers = {
      Host: PLATFORM_HOST,
      'Attempt-Id': `probe-${version}-${host}-${sentMs}`,
      'Deadline-Ms': '1000',
      Authorization: `Bearer ${PLATFORM_KEY}`,
    };
    const path = `/added-${version}/x`;
    const status = await new Promise<number>((resolve) => {
      const options = { host, port: ports.front, path, headers, agent: false };
      const call = request({ ...options, timeout: PROBE_TIMEOUT_MS }, (response) => {
        response.resume();
        response.on('error', () => {});
        resolve(response.statusCode ?? 0);
      });
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(0));
      call.end();
    });
    this.probes.push({ host, version, acknowledgedMs, sentMs, status });
  }
}
