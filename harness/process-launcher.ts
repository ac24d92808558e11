import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { access } from 'node:fs/promises';

import { waitFor } from './wait-for.js';

/** The JSON line that a process prints when it can be used. */
export type ReadyLine = Record<string, unknown>;

/** How a process is started. */
export interface LaunchOptions {
  readonly args?: readonly string[];
  readonly env?: Record<string, string>;
  /** Longest wait for the ready line, in milliseconds. */
  readonly readyTimeoutMs?: number;
  /** Recognizes the ready line; by default an object with the field `ready`. */
  readonly isReady?: (line: ReadyLine) => boolean;
  /** Arguments of a restart, for example with the ports of the first run. */
  readonly restartArgs?: (ready: ReadyLine) => readonly string[];
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process that a scenario has started. */
export interface LaunchedProcess {
  readonly pid: number;
  readonly ready: ReadyLine;
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  readonly stdout: () => string;
  readonly stderr: () => string;
  /** Sends a signal without waiting. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Ends the process at once and waits for its end. */
  readonly kill: () => Promise<ProcessEnd>;
  /** Freezes the process (SIGSTOP). */
  readonly pause: () => void;
  /** Lets a frozen process go on (SIGCONT). */
  readonly resume: () => void;
  /** Kills the process and starts it again. */
  readonly restart: () => Promise<LaunchedProcess>;
}

const runningChildren = new Set<ChildProcess>();

/**
 * Starts a program of the project and waits for its ready line. The built program is used when
 * there is one; otherwise the source runs through tsx.
 *
 * @param entry - path without extension, for example `stand-ins/log-service`
 * @param options - how it is started
 * @returns the running process
 */
export async function launchProcess(
  entry: string,
  options: LaunchOptions = {},
): Promise<LaunchedProcess> {
  const child = spawn(process.execPath, [...(await findProgram(entry)), ...(options.args ?? [])], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, NODE_OPTIONS: '', ...options.env },
  });
  runningChildren.add(child);
  const ended = waitForEnd(child);
  const stdout = collect(child.stdout);
  const stderr = collect(child.stderr);
  const ready = await waitForReady(entry, child, stdout, stderr, options);
  const kill = () => {
    child.kill('SIGKILL');
    return ended;
  };
  const restart = async () => {
    await kill();
    return launchProcess(entry, { ...options, args: options.restartArgs?.(ready) ?? options.args });
  };
  return {
    ...{ pid: child.pid ?? 0, ready, ended, stdout, stderr, kill, restart },
    signal: (signal) => child.kill(signal),
    pause: () => child.kill('SIGSTOP'),
    resume: () => child.kill('SIGCONT'),
  };
}

/**
 * Kills every process that was started here and still runs.
 *
 * @returns a promise that resolves when all have ended
 */
export async function killLaunchedProcesses(): Promise<void> {
  const children = [...runningChildren];
  const ends = children.map((child) => once(child, 'exit'));
  children.forEach((child) => child.kill('SIGKILL'));
  await Promise.all(ends);
}

/**
 * Finds how a program of the project is run: built where it was built, else through tsx.
 *
 * @param entry - path without extension
 * @returns arguments for node
 */
export async function findProgram(entry: string): Promise<string[]> {
  const builtFile = `dist/${entry}.js`;
  const isBuilt = await access(builtFile).then(
    () => true,
    () => false,
  );
  return isBuilt ? [builtFile] : ['--import', 'tsx', `${entry}.ts`];
}

async function waitForEnd(child: ChildProcess): Promise<ProcessEnd> {
  const [code, signal] = (await once(child, 'exit')) as [number | null, NodeJS.Signals | null];
  runningChildren.delete(child);
  return { code, signal };
}

function collect(stream: NodeJS.ReadableStream): () => string {
  let text = '';
  stream.setEncoding('utf8');
  stream.on('data', (chunk: string) => {
    text += chunk;
  });
  return () => text;
}

async function waitForReady(
  entry: string,
  child: ChildProcess,
  stdout: () => string,
  stderr: () => string,
  options: LaunchOptions,
): Promise<ReadyLine> {
  const { readyTimeoutMs: readyMs = 30_000, isReady = (line: ReadyLine) => 'ready' in line } =
    options;
  const findReadyLine = () => stdout().split('\n').slice(0, -1).map(parseLine).find(isReady);
  const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
  const check = () => findReadyLine() ?? (hasEnded() && 'ended');
  const ready = await waitFor(`the ready line of ${entry}`, check, { timeoutMs: readyMs });
  if (ready !== 'ended') return ready;
  throw new Error(`${entry} ended before it was ready: ${stderr() || stdout()}`);
}

function parseLine(line: string): ReadyLine {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === 'object' && value !== null ? (value as ReadyLine) : {};
  } catch {
    return {};
  }
}

// A run that ends early, for example by an exception outside a scenario, leaves no process behind.
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
