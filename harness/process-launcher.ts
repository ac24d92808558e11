import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { access } from 'node:fs/promises';

import { waitFor } from './wait-for.js';

/** The JSON line that a process prints when it is ready. */
export type ReadyLine = Record<string, unknown>;

/** Options of a process launch. */
export interface LaunchOptions {
  readonly args?: readonly string[];
  readonly env?: Record<string, string>;
  /** Maximum wait for the ready line, in milliseconds. */
  readonly readyTimeoutMs?: number;
  /** Recognizes the ready line; by default any object with the field `ready`. */
  readonly isReady?: (line: ReadyLine) => boolean;
  /** Returns the arguments of a restart, for example with the ports of the first run. */
  readonly restartArgs?: (ready: ReadyLine) => readonly string[];
}

/** Exit code or signal with which a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A child process that was started by `launchProcess`. */
export interface LaunchedProcess {
  readonly pid: number;
  readonly ready: ReadyLine;
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  readonly stdout: () => string;
  readonly stderr: () => string;
  /** Sends a signal and does not wait for its effect. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Sends SIGKILL and waits for the end of the process. */
  readonly kill: () => Promise<ProcessEnd>;
  /** Suspends the process (SIGSTOP). */
  readonly pause: () => void;
  /** Resumes a suspended process (SIGCONT). */
  readonly resume: () => void;
  /** Kills the process and starts it again. */
  readonly restart: () => Promise<LaunchedProcess>;
}

const runningChildren = new Set<ChildProcess>();

/**
 * Starts a program of the project and waits for its ready line. The compiled program is used if it
 * exists; otherwise the source is run by tsx.
 *
 * @param entry - path without extension, for example `stand-ins/log-service`
 * @param options - arguments, environment and detection of the ready line
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
 * Kills all launched processes that still run.
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
 * Returns the node arguments that run a program of the project: compiled if built, else by tsx.
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

// Leaves no child process behind when a run ends early, for example by an uncaught exception.
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
