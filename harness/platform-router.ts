import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { request } from 'undici';

import type { Address } from '../src/domain/vm.js';
import { findFreePorts } from './free-ports.js';
import { ownHost } from './own-host.js';
import { createPlatformSettings } from './platform-fixtures.js';
import { launchProcess, type LaunchedProcess } from './process-launcher.js';
import { waitFor } from './wait-for.js';

/** Listeners of a router. */
export type RouterListener = 'callers' | 'readiness' | 'control' | 'directory' | 'metrics';

/** A router on the platform that runs as a process. */
export interface PlatformRouter {
  readonly process: LaunchedProcess;
  /** Address for callers. */
  readonly address: Address;
  readonly addresses: Readonly<Record<RouterListener, Address>>;
  /** Kills the process and removes its settings. */
  readonly remove: () => Promise<void>;
}

/** What differs from the defaults of a router. */
export interface RouterOverrides {
  /** Module that is loaded before the program. */
  readonly preload?: string;
  /** Options of node, for example a limit of the heap. */
  readonly nodeOptions?: readonly string[];
  /** Limits of the machine in the settings. */
  readonly limits?: { readonly memoryMb: number; readonly maxFds: number };
}

/**
 * Starts a router and waits until it is ready.
 *
 * @param storeAddress - address of the store
 * @param graceS - time from the stop signal to the end of the process, in seconds
 * @param overrides - options of the process and fields of its settings
 * @returns the running router
 */
export async function launchPlatformRouter(
  storeAddress: string,
  graceS: number,
  overrides: RouterOverrides = {},
): Promise<PlatformRouter> {
  const { preload, nodeOptions = [], limits } = overrides;
  const host = ownHost();
  const [front, ready, control, directory, metrics, digest] = (await findFreePorts(6, host)) as [
    number,
    number,
    number,
    number,
    number,
    number,
  ];
  const { bounds } = createPlatformSettings();
  const settings = createPlatformSettings({
    ip: host,
    listen: {
      front: `${host}:${front}`,
      ready: `${host}:${ready}`,
      control: `${host}:${control}`,
      directory: `${host}:${directory}`,
    },
    portRange: [digest, digest],
    seeds: [],
    bounds: { ...bounds, graceS },
    ...(limits ? { limits } : {}),
    provider: { address: storeAddress },
  });
  const folder = await mkdtemp(path.join(tmpdir(), 'cuminspar-'));
  const file = path.join(folder, 'node.json');
  await writeFile(file, JSON.stringify(settings));
  const preloads = preload ? ['--import tsx', `--import ${preload}`] : [];
  const launched = await launchProcess('platform/main', {
    args: ['--metrics-port', String(metrics)],
    env: { CUMINSPAR_BOOT: file, NODE_OPTIONS: [...preloads, ...nodeOptions].join(' ') },
    isReady: ({ message }) => message === 'started',
  });
  const isReady = async () => {
    const { statusCode, body } = await request(`http://${host}:${ready}/ready`);
    await body.dump();
    return statusCode === 200;
  };
  await waitFor('the router to be ready', isReady, { timeoutMs: 15_000 });
  const remove = async () => {
    await launched.kill();
    await rm(folder, { recursive: true, force: true });
  };
  const ports = { callers: front, readiness: ready, control, directory, metrics };
  const addresses = Object.fromEntries(
    Object.entries(ports).map(([listener, port]) => [listener, { host, port }]),
  ) as Record<RouterListener, Address>;
  return { process: launched, address: addresses.callers, addresses, remove };
}
