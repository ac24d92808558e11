import type { Fleet, FleetDaemon, JsonChange } from '../../harness/fleet.js';
import { waitFor } from '../../harness/wait-for.js';
import { isolate, reconnect, waitForIsolation, waitForMember } from './guarantees-entry.js';

/** State and actions available to an event while the load runs. */
export interface EventContext {
  readonly fleet: Fleet;
  /** Homes of the team when the load starts, that is, daemons that hold the shares of its rate. */
  readonly homes: readonly FleetDaemon[];
  readonly others: readonly FleetDaemon[];
  /** Finds the current homes of the team. */
  readonly askHomes: () => Promise<readonly FleetDaemon[]>;
  /** Directs all further requests of the load to these daemons. */
  readonly setTargets: (targets: readonly FleetDaemon[]) => void;
  /**
   * Waits until the engines have run as many more tokens as the rate allows in this many seconds.
   */
  readonly waitForLoad: (seconds: number) => Promise<void>;
  /** Changes the team and records its new limits. */
  readonly changeTeam: (fields: JsonChange) => Promise<void>;
}

/** An event in the fleet while the load runs. */
export type RateEvent = (context: EventContext) => Promise<void>;

/** Time limit for a VM that lost its lease to report its isolation, in milliseconds. */
const ISOLATION_TIMEOUT_MS = 4000;

/** Number of daemons that remain after the homes have shut down one after another. */
const MIN_DAEMONS = 2;

function firstOf(daemons: readonly FleetDaemon[]): FleetDaemon {
  const [daemon] = daemons;
  if (!daemon) throw new Error('the list of daemons is empty');
  return daemon;
}

async function moveTraffic({ fleet, setTargets, waitForLoad }: EventContext): Promise<void> {
  for (const daemon of fleet.daemons) {
    setTargets([daemon]);
    await waitForLoad(1);
  }
}

async function killHome({ fleet, homes, others }: EventContext): Promise<void> {
  await firstOf(homes).process.kill();
  await waitForMember(fleet, firstOf(others), firstOf(homes).name, false);
}

async function restartHome({ fleet, homes }: EventContext): Promise<void> {
  await firstOf(homes).process.kill();
  await fleet.restartDaemon(firstOf(homes));
  await fleet.waitUntilReady(firstOf(homes));
}

async function restartAllHomes({ fleet, homes }: EventContext): Promise<void> {
  await Promise.all(homes.map((home) => home.process.kill()));
  await Promise.all(homes.map((home) => fleet.restartDaemon(home)));
  await Promise.all(homes.map((home) => fleet.waitUntilReady(home)));
}

/**
 * Shares move without a pause: a period without any grants would hide tokens that were granted
 * twice.
 */
async function shutDownHomes({ fleet, setTargets, askHomes }: EventContext): Promise<void> {
  let left = [...fleet.daemons];
  while (left.length > MIN_DAEMONS) {
    const leaving = firstOf(await askHomes());
    left = left.filter((daemon) => daemon !== leaving);
    setTargets(left);
    leaving.process.signal('SIGTERM');
    await leaving.process.ended;
    fleet.daemons.splice(fleet.daemons.indexOf(leaving), 1);
  }
}

async function freezeHome({ fleet, homes, others }: EventContext): Promise<void> {
  firstOf(homes).process.pause();
  await waitForMember(fleet, firstOf(others), firstOf(homes).name, false);
  firstOf(homes).process.resume();
  await fleet.waitUntilReady(firstOf(homes));
}

async function freezeHomeBriefly({ homes, waitForLoad }: EventContext): Promise<void> {
  firstOf(homes).process.pause();
  await waitForLoad(0.5);
  firstOf(homes).process.resume();
}

async function addDaemon({ fleet, setTargets }: EventContext): Promise<void> {
  const added = await fleet.addDaemon();
  setTargets(fleet.daemons);
  await fleet.waitUntilReady(added);
}

async function addHome(context: EventContext): Promise<void> {
  await addDaemon(context);
  await context.waitForLoad(1);
  await addDaemon(context);
}

async function separateHomes({ fleet, homes, waitForLoad }: EventContext): Promise<void> {
  const [one, other] = homes;
  if (!one || !other) throw new Error('the team has fewer than two homes');
  fleet.partition(one, other);
  await waitForLoad(2);
  fleet.healPartition(one, other);
}

async function isolateHome({ fleet, homes, others, waitForLoad }: EventContext): Promise<void> {
  const home = firstOf(homes);
  isolate(fleet, home);
  await waitForIsolation(home, ISOLATION_TIMEOUT_MS);
  await waitForMember(fleet, firstOf(others), home.name, false);
  await waitForLoad(0.5);
  reconnect(fleet, home);
  await fleet.waitUntilReady(home);
}

async function cutLog({ fleet, waitForLoad }: EventContext): Promise<void> {
  fleet.daemons.forEach((daemon) => daemon.links?.log.cut());
  await waitForLoad(2);
  fleet.daemons.forEach((daemon) => daemon.links?.log.heal());
}

async function killHomeWithoutLog({ fleet, homes, waitForLoad }: EventContext): Promise<void> {
  fleet.daemons.forEach((daemon) => daemon.links?.log.cut());
  await firstOf(homes).process.kill();
  await waitForLoad(1);
  fleet.daemons.forEach((daemon) => daemon.links?.log.heal());
}

async function lowerRate({ changeTeam, waitForLoad }: EventContext): Promise<void> {
  await changeTeam({ rate: 600, burst: 800 });
  // Longer than the 4 s for which the older limit still applies.
  await waitForLoad(6);
}

async function breakAttempts({ fleet, waitForLoad }: EventContext): Promise<void> {
  const prefill = fleet.servers.get('prefill-1');
  await prefill?.addFault({ path: '/v1/prefill', kind: 'lost-answer', count: 30 });
  const decode = fleet.servers.get('decode-1');
  await decode?.addFault({ path: '/v1/decode', kind: 'cut', count: 30 });
  await waitForLoad(2);
}

async function restartEngine({ fleet, waitForLoad }: EventContext): Promise<void> {
  await waitForLoad(0.5);
  await fleet.servers.get('decode-1')?.setState({ restart: true });
  await waitForLoad(0.5);
  await fleet.servers.get('prefill-1')?.setState({ restart: true });
}

/** Events by their name in the feature file. */
export const RATE_EVENTS: ReadonlyMap<string, RateEvent> = new Map([
  ['nothing happens', ({ waitForLoad }) => waitForLoad(2)],
  ['the traffic moves from daemon to daemon', moveTraffic],
  ['a home is killed', killHome],
  ['a home is frozen for less than its lease', freezeHomeBriefly],
  ['a home is frozen until it is removed', freezeHome],
  ['two daemons are added', addHome],
  ['homes shut down one after another', shutDownHomes],
  ['a home restarts', restartHome],
  ['all homes restart', restartAllHomes],
  ['the homes are cut from each other', separateHomes],
  ['a home is cut off until it is removed', isolateHome],
  ['the log is cut off', cutLog],
  ['a home is killed while the log is cut off', killHomeWithoutLog],
  ['the rate is lowered', lowerRate],
  ['attempts break off and run again', breakAttempts],
  ['engines restart', restartEngine],
]);

/**
 * Waits until the engines have run a number of tokens.
 *
 * @param count - returns the number of tokens run
 * @param tokens - number of tokens to wait for
 */
export async function waitForTokensRun(
  count: () => Promise<number>,
  tokens: number,
): Promise<void> {
  await waitFor(`${tokens} tokens to run`, async () => (await count()) >= tokens, {
    timeoutMs: 12_000,
    intervalMs: 50,
  });
}
