import type { IncomingMessage } from 'node:http';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { createAdminHandler, type Admin } from './admin-handler.js';
import type { Handler } from './call.js';
import type { FaultList } from './faults.js';
import { openListener } from './http-listener.js';

/** Command line options that all stand-ins share. */
export interface CommonOptions {
  readonly host: string;
  readonly port: number;
  readonly adminPort: number;
  /** JSON of a fault that applies from the start, as in `POST /faults`. */
  readonly fault?: string | undefined;
}

/** Handler, faults and admin operations of a stand-in. */
export interface StandIn {
  readonly name: string;
  readonly handler: Handler;
  readonly faults: FaultList;
  readonly admin: Admin;
  readonly observe?: (request: IncomingMessage) => void;
  /** Ports of further protocol listeners, by name. */
  readonly otherPorts?: Record<string, number>;
}

/**
 * Creates a command line parser; a stand-in adds its own options to it.
 *
 * @param name - name of the stand-in, shown in the help
 * @returns a parser that knows the common options
 */
export function parseCommonOptions(name: string) {
  return (
    yargs(hideBin(process.argv))
      // The last value of a repeated option wins, so that a caller can override default options by
      // appending to them.
      .parserConfiguration({ 'duplicate-arguments-array': false })
      .scriptName(name)
      .strict()
      .option('host', { type: 'string', default: '127.0.0.1', describe: 'IP number to listen on' })
      .option('port', { type: 'number', default: 0, describe: 'protocol port, 0 picks a free one' })
      .option('admin-port', { type: 'number', default: 0, describe: 'admin port' })
      .option('fault', { type: 'string', describe: 'JSON of a fault that applies from the start' })
  );
}

/**
 * Opens the listeners and prints one JSON line with their ports.
 *
 * @param options - host, ports and an optional initial fault
 * @param standIn - handler, faults and admin operations
 * @returns a promise that resolves when the listeners are open
 */
export async function startStandIn(options: CommonOptions, standIn: StandIn): Promise<void> {
  const { host } = options;
  const { handler, faults, observe } = standIn;
  const problem = options.fault === undefined ? undefined : faults.add(JSON.parse(options.fault));
  if (problem) throw new Error(problem);
  const names = Object.entries({ port: options.port, ...standIn.otherPorts });
  const ports: Record<string, number> = {};
  for (const [name, port] of names) {
    const listener = name === 'port' ? 'main' : name.replace(/Port$/, '');
    const open = await openListener({ name: listener, host, port, handler, faults, observe });
    ports[name] = open.port;
  }
  const admin = createAdminHandler(faults, standIn.admin);
  const opened = await openListener({
    name: 'admin',
    host,
    port: options.adminPort,
    handler: admin,
  });
  const ready = { ready: standIn.name, host, ...ports, adminPort: opened.port };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}
