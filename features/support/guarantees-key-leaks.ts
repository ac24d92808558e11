import { readFile } from 'node:fs/promises';

import type { Fleet } from '../../harness/fleet.js';
import type { Direction, TcpRelay } from '../../harness/tcp-relay.js';
import { decodeCalls } from './guarantees-peer-traffic.js';

/** Output of the system that must not contain a key. */
export interface CollectedOutput {
  readonly name: string;
  readonly text: string;
}

/**
 * Lists the forms in which a key could appear in an output.
 *
 * @param text - text of a key
 * @returns the key, its secret, and the Base64 of the key alone, before a colon and after `Bearer `
 */
export function listKeyForms(text: string): string[] {
  const secret = text.slice(text.lastIndexOf('_') + 1);
  const unpadded = (plain: string) => btoa(plain).replace(/=+$/, '');
  return [text, secret, unpadded(text), unpadded(`${text}:`), unpadded(`Bearer ${text}`)];
}

/**
 * Collects everything that stand-ins recorded, daemons wrote and relays forwarded.
 *
 * @param fleet - a fleet with recording relays
 * @returns the outputs
 */
export async function collectOutputs(fleet: Fleet): Promise<CollectedOutput[]> {
  const standIns = [['log', fleet.log] as const, ['vm list', fleet.vmList] as const];
  const records = [...standIns, ...fleet.servers].map(async ([name, standIn]) => ({
    name: `record of ${name}`,
    text: JSON.stringify(await standIn.readRecord()),
  }));
  const daemons = fleet.daemons.map(async ({ name, settingsFile, links, process }) => [
    { name: `log lines of ${name}`, text: process.stdout() + process.stderr() },
    { name: `traces of ${name}`, text: await readSpans(settingsFile) },
    { name: `calls of peers to ${name}`, text: await decodePeerCalls(links?.peers) },
    ...listRelayed(`peers of ${name}`, links?.peers),
    ...listRelayed(`log access of ${name}`, links?.log),
  ]);
  const servers = [...fleet.serverLinks].flatMap(([name, relay]) => listRelayed(name, relay));
  return [...(await Promise.all(records)), ...(await Promise.all(daemons)).flat(), ...servers];
}

function readSpans(settingsFile: string): Promise<string> {
  return readFile(settingsFile.replace(/\.json$/, '.spans'), 'utf8');
}

function listRelayed(name: string, relay: TcpRelay | undefined): CollectedOutput[] {
  return (['to-target', 'to-client'] as const).map((direction) => ({
    name: `bytes ${direction} of ${name}`,
    text: joinChunks(relay, direction).join('\n'),
  }));
}

function joinChunks(relay: TcpRelay | undefined, direction: Direction): string[] {
  const connections = relay?.recorded ?? [];
  return connections.map(({ chunks }) => Buffer.concat(chunks[direction]).toString('latin1'));
}

async function decodePeerCalls(relay: TcpRelay | undefined): Promise<string> {
  const connections = relay?.recorded ?? [];
  const decoded = connections.map(({ chunks }) =>
    decodeCalls({
      'to-target': Buffer.concat(chunks['to-target']),
      'to-client': Buffer.concat(chunks['to-client']),
    }),
  );
  return (await Promise.all(decoded)).flat().join('\n');
}
