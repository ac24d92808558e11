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

/** A router on the platform that runs as a process. */
export interface PlatformRouter {
  readonly process: LaunchedProcess;
  /** Address for callers. */
  readonly address: Address;
  /** Kills the process and removes its settings. */
  readonly remove: () => Promise<void>;
}

/**
 * Starts a router and waits until it is ready.
 *
 * @param storeAddress - address of the store
 * @param graceS - time from the stop signal to the end of the process, in seconds
 * @param preload - module that is loaded before the program
 * @returns the running router
 */
export async function launchPlatformRouter(
  storeAddress: string,
  graceS: number,
  preload?: string,
): Promise<PlatformRouter> {
  const host = ownHost();
  const [front, ready, control, directory, digest] = (await findFreePorts(5, host)) as [
    number,
    ...number[],
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
    provider: { address: storeAddress },
  });
  const folder = await mkdtemp(path.join(tmpdir(), 'cuminspar-'));
  const file = path.join(folder, 'node.json');
  await writeFile(file, JSON.stringify(settings));
  const launched = await launchProcess('platform/main', {
    env: {
      CUMINSPAR_BOOT: file,
      ...(preload ? { NODE_OPTIONS: `--import tsx --import ${preload}` } : {}),
    },
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
  return { process: launched, address: { host, port: front }, remove };
}
