import { readFile, writeFile } from 'node:fs/promises';

import { request } from 'undici';

import { daemonOf } from '../../harness/find-daemon.js';
import type { Fleet, FleetDaemon, FleetPlan, JsonChange } from '../../harness/fleet.js';
import { planChanges, planSmallFleet, type SmallFleet } from '../../harness/plans.js';
import { waitFor } from '../../harness/wait-for.js';
import type { ConfigurationWatch } from '../../harness/configuration-watch.js';

/**
 * Bound of P10, the time until a change is in force on every daemon at the design size, in
 * milliseconds.
 */
export const IN_FORCE_BOUND_MS = 4000;

/** A record of the configuration stream as stored by the log stand-in. */
export interface LoggedRecord {
  readonly offset: number;
  readonly data: string;
}

/** A daemon's answer to a change. */
export interface ChangeAnswer {
  readonly verdict: string;
  readonly reason: string;
  readonly version: number;
  /** Time at which the answer arrived, on the monotonic clock. */
  readonly atMs: number;
}

const EXTRA_PRESETS: readonly JsonChange[] = [
  { kind: 'put-preset', preset: { name: 'peak', queueMs: 500 } },
  { kind: 'put-preset', preset: { name: 'quiet', queueMs: 2000 } },
  { kind: 'put-preset', preset: { name: 'maintenance', maintenance: true } },
];

/**
 * Plans a small fleet with three presets in addition to the ordinary one.
 *
 * @param size - overrides of the defaults: four daemons, one engine of each role and one plain
 *   service
 * @returns a plan with relays
 */
export function planConfiguredFleet(size: SmallFleet = {}): FleetPlan {
  return planSmallFleet({
    ...{ daemons: 4, prefills: 1, decodes: 1, services: 1, relayed: true },
    changes: [...planChanges(), ...EXTRA_PRESETS],
    ...size,
  });
}

/**
 * Sends a change as an operator.
 *
 * @param fleet - a running fleet
 * @param number - number of the daemon to ask, counted from 1
 * @param change - the change
 * @param base - version of the subject that the change is based on; -1 uses the daemon's current
 *   one
 * @returns the daemon's answer
 */
export async function sendChange(
  fleet: Fleet,
  number: number,
  change: JsonChange,
  base = -1,
): Promise<ChangeAnswer> {
  const { calls } = fleet.operatorClient(daemonOf(fleet, number));
  const answer = await calls.change({
    ...{ changeJson: JSON.stringify(change), base: BigInt(base), operator: `operator-${number}` },
  });
  const { verdict, reason, version } = answer;
  return { verdict, reason, version: Number(version), atMs: performance.now() };
}

/**
 * Reads the version of the last accepted change to a subject.
 *
 * @param fleet - a running fleet
 * @param subject - for example `preset-in-force`
 * @param number - number of the daemon to ask, counted from 1
 * @returns the version, or 0 if the subject has none
 */
export async function readBaseVersion(fleet: Fleet, subject: string, number = 1): Promise<number> {
  const shown = await fleet.operatorClient(daemonOf(fleet, number)).calls.showConfiguration({});
  const state = JSON.parse(shown.configurationJson) as { subjects: Record<string, number> };
  return state.subjects[subject] ?? 0;
}

/**
 * Reads the configuration of every daemon, with the version set to 0.
 *
 * @param fleet - a running fleet
 * @returns one JSON text per daemon
 */
export async function readAllConfigurations(fleet: Fleet): Promise<string[]> {
  const shown = fleet.daemons.map((one) => fleet.operatorClient(one).calls.showConfiguration({}));
  return (await Promise.all(shown)).map(({ configurationJson }) => {
    const state = JSON.parse(configurationJson) as Record<string, unknown>;
    return JSON.stringify({ ...state, version: 0 });
  });
}

/**
 * Reads the configuration stream as stored by the log stand-in.
 *
 * @param fleet - a running fleet
 * @returns the records that retention has not deleted
 */
export async function readLoggedRecords(fleet: Fleet): Promise<readonly LoggedRecord[]> {
  const record = await fleet.log.readRecord<{ streams: Record<string, LoggedRecord[]> }>();
  return record.streams.configuration ?? [];
}

/**
 * Appends records to the configuration stream directly, bypassing the daemons.
 *
 * @param fleet - a running fleet
 * @param records - data of each record
 */
export async function appendToLog(fleet: Fleet, records: readonly string[]): Promise<void> {
  const url = `${fleet.log.url}/v1/streams/configuration/records`;
  const body = JSON.stringify({ records });
  const answer = await request(url, { method: 'POST', body, reset: true });
  const text = await answer.body.text();
  if (answer.statusCode !== 200)
    throw new Error(`appending to the configuration stream failed: ${text}`);
}

/**
 * Restarts a daemon with the log's replica as its first URL and the main listener as its second.
 *
 * @param fleet - a running fleet
 * @param daemon - the daemon to restart
 */
export async function restartOnReplica(fleet: Fleet, daemon: FleetDaemon): Promise<void> {
  const settings = JSON.parse(await readFile(daemon.settingsFile, 'utf8')) as {
    platform: { log: { urls: string[] } };
  };
  settings.platform.log.urls = [fleet.log.replicaUrl, fleet.log.url];
  await writeFile(daemon.settingsFile, JSON.stringify(settings));
  await daemon.process.kill();
  await fleet.restartDaemon(daemon);
}

/**
 * Waits until every watched daemon has reported a version.
 *
 * @param fleet - a running fleet
 * @param watch - polls the daemons
 * @param version - offset of the change
 * @param fromMs - earlier observations are ignored
 * @returns time at which the last daemon first reported it, on the monotonic clock
 */
export async function waitUntilShown(
  fleet: Fleet,
  watch: ConfigurationWatch,
  version: number,
  fromMs: number,
): Promise<number> {
  const find = () => fleet.daemons.map(({ name }) => watch.firstObservedMs(name, version, fromMs));
  const seen = await waitFor(`version ${version} on every daemon`, () => {
    const times = find();
    if (times.every((time) => time !== undefined)) return times;
    throw new Error(`first reported at ${times.join(', ')}`);
  });
  return Math.max(...seen.map((time) => time ?? Infinity));
}
