import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { request } from 'undici';

import { findFreePorts } from './free-ports.js';
import { createPlatformSettings } from './platform-fixtures.js';
import { launchProcess, type LaunchedProcess } from './process-launcher.js';
import { waitFor } from './wait-for.js';

/** A router on the platform that runs as a process. */
export interface PlatformRouter {
  readonly process: LaunchedProcess;
  /** Port for callers. */
  readonly port: number;
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
  const [front, ready, control, directory, digest] = (await findFreePorts(5)) as [
    number,
    ...number[],
  ];
  const { bounds } = createPlatformSettings();
  const settings = createPlatformSettings({
    listen: {
      front: `127.0.0.1:${front}`,
      ready: `127.0.0.1:${ready}`,
      control: `127.0.0.1:${control}`,
      directory: `127.0.0.1:${directory}`,
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
    const { statusCode, body } = await request(`http://127.0.0.1:${ready}/ready`);
    await body.dump();
    return statusCode === 200;
  };
  await waitFor('the router to be ready', isReady, { timeoutMs: 15_000 });
  const remove = async () => {
    await launched.kill();
    await rm(folder, { recursive: true, force: true });
  };
  return { process: launched, port: front, remove };
}
