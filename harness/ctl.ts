import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';

import type { Address } from '../src/domain/vm.js';
import { OPERATOR_TOKEN } from './fleet.js';

/** Exit code and output of a run of cuminsparctl. */
export interface CtlResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the built cuminsparctl against a daemon.
 *
 * @param operators - the daemon's listener for operators
 * @param args - command and options
 * @returns exit code and output
 */
export async function runCtl(operators: Address, args: readonly string[]): Promise<CtlResult> {
  const daemon = `${operators.host}:${operators.port}`;
  const child = spawn(process.execPath, ['dist/src/ctl.js', '--daemon', daemon, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NODE_OPTIONS: '', CUMINSPAR_OPERATOR_TOKEN: OPERATOR_TOKEN },
  });
  const [[code], stdout, stderr] = await Promise.all([
    once(child, 'exit') as Promise<[number]>,
    text(child.stdout),
    text(child.stderr),
  ]);
  return { code, stdout, stderr };
}
