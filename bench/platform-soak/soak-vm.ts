import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';

import { createPlatformSettings } from '../../harness/platform-fixtures.js';
import { findProgram } from '../../harness/process-launcher.js';

/** Ports of a VM; each VM has a loopback address of its own. */
export interface VmPorts {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
  readonly directory: number;
  readonly digest: number;
  readonly metrics: number;
}

/** Time from the stop signal until the process is killed, in seconds. */
const STOP_GRACE_S = 3;

/** One VM: a process that runs the platform's program, on a loopback address of its own. */
export class SoakVm {
  private child: ChildProcess | undefined;

  /** Process exits that no fault caused, one line each. */
  readonly unexpectedExits: string[] = [];

  private exitExpected = false;

  private constructor(
    readonly host: string,
    readonly ports: VmPorts,
    private readonly folder: string,
  ) {}

  /**
   * Writes the settings of a VM.
   *
   * @param network - first three numbers of the loopback addresses of all VMs
   * @param index - number of the VM, starting at 1
   * @param ports - ports to listen on, the same on all VMs
   * @param store - host and port of the store
   * @param folder - folder for settings and logs
   * @returns a VM whose process is not started yet
   */
  static async create(
    network: string,
    index: number,
    ports: VmPorts,
    store: string,
    folder: string,
  ): Promise<SoakVm> {
    const host = `${network}.${index}`;
    const formatAddress = (port: number, of = host) => `${of}:${port}`;
    const settings = createPlatformSettings({
      node: `front-sando-${index}`,
      ip: host,
      listen: {
        front: formatAddress(ports.front),
        ready: formatAddress(ports.ready),
        control: formatAddress(ports.control),
        directory: formatAddress(ports.directory),
      },
      portRange: [ports.digest, ports.digest + 1],
      seeds: [1, 2].map((seed) => formatAddress(ports.control, `${network}.${seed}`)),
      bounds: { ...createPlatformSettings().bounds, graceS: STOP_GRACE_S },
      provider: { address: store },
    });
    await writeFile(path.join(folder, `${host}.json`), JSON.stringify(settings));
    return new SoakVm(host, ports, folder);
  }

  /** Starts the process; has no effect while it is running. */
  async start(): Promise<void> {
    if (this.child) return;
    const settings = path.join(this.folder, `${this.host}.json`);
    const metrics = ['--metrics-port', String(this.ports.metrics)];
    const program = [...(await findProgram('platform/main')), ...metrics];
    const env = { ...process.env, CUMINSPAR_BOOT: settings, NODE_OPTIONS: '' };
    const child = spawn(process.execPath, program, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(path.join(this.folder, `${this.host}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    this.exitExpected = false;
    child.once('exit', (code, signal) => {
      log.end();
      this.child = undefined;
      if (!this.exitExpected || (code ?? 0) !== 0)
        this.unexpectedExits.push(`${this.host} ended with ${code ?? signal}`);
    });
    await once(child, 'spawn');
  }

  /**
   * Sends a signal to the process if it is running.
   *
   * @param signal - signal to send
   */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /**
   * Stops the process and waits for its exit; kills it when the grace period has passed.
   *
   * @param signal - signal to send first
   */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const { child } = this;
    if (!child) return;
    this.exitExpected = true;
    const ended = once(child, 'exit');
    const kill = () => child.kill('SIGKILL');
    if (signal === 'SIGKILL') kill();
    else child.kill(signal);
    const timer = setTimeout(kill, STOP_GRACE_S * 1000);
    await ended;
    clearTimeout(timer);
  }
}
