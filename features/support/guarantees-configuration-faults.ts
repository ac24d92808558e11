import type { Fleet, FleetDaemon, JsonChange } from '../../harness/fleet.js';
import { daemonOf, lastDaemonOf } from '../../harness/find-daemon.js';
import { waitFor } from '../../harness/wait-for.js';
import {
  appendToLog,
  type ChangeAnswer,
  readBaseVersion,
  restartOnReplica,
  sendChange,
} from './guarantees-configuration-fleet.js';
import type { ConfigurationWatch } from '../../harness/configuration-watch.js';

/** A configuration change made while a fault is present. */
export interface ChangeUnderFault {
  readonly answer: ChangeAnswer;
  /** Start of the time bound of P10, on the monotonic clock: the answer or a later recovery. */
  readonly fromMs: number;
}

/**
 * Makes one change through daemon 1 while a fault is present, and removes the fault where needed.
 */
export type FaultScript = (fleet: Fleet, watch: ConfigurationWatch) => Promise<ChangeUnderFault>;

const STREAM = '/v1/streams/configuration';
const SWITCH_TO_PEAK: JsonChange = { kind: 'switch-preset', name: 'peak' };
const OUTAGE_MS = 1500;
/** Far longer than a scenario, so that the replica serves no new records during it. */
const REPLICA_LAG_MS = 60_000;

const MALFORMED_RECORDS = [
  'not JSON',
  '{}',
  '{"format":2,"changeId":"from-the-future","base":0,"operator":"x","change":{}}',
  JSON.stringify({
    ...{ format: 1, changeId: 'unknown-preset', base: 0, operator: 'x' },
    change: { kind: 'switch-preset', name: 'missing' },
  }),
  '{"format":1,"snapshot":{"id":"s","upTo":999999,"part":1,"parts":1,"state":"{}"}}',
];

async function switchPreset(fleet: Fleet): Promise<ChangeUnderFault> {
  const answer = await sendChange(fleet, 1, SWITCH_TO_PEAK);
  return { answer, fromMs: answer.atMs };
}

function cutLog(daemons: readonly FleetDaemon[]): void {
  daemons.forEach(({ links }) => links?.log.cut());
}

function healLog(daemons: readonly FleetDaemon[]): void {
  daemons.forEach(({ links }) => links?.log.heal());
}

/** Faults around the change, by their name in the feature file. */
export const FAULT_SCRIPTS: Readonly<Record<string, FaultScript>> = {
  'nothing else': switchPreset,

  'a stale edit before it': async (fleet) => {
    const base = await readBaseVersion(fleet, 'preset-in-force');
    const first = await sendChange(fleet, 2, { kind: 'switch-preset', name: 'quiet' }, base);
    const stale = await sendChange(fleet, 3, { kind: 'switch-preset', name: 'maintenance' }, base);
    if (first.verdict !== 'accepted' || stale.verdict !== 'stale') {
      throw new Error(`verdicts: first edit ${first.verdict}, stale edit ${stale.verdict}`);
    }
    return switchPreset(fleet);
  },

  'malformed records in the log': async (fleet) => {
    await appendToLog(fleet, MALFORMED_RECORDS);
    const changed = await switchPreset(fleet);
    await appendToLog(fleet, MALFORMED_RECORDS);
    return changed;
  },

  'the answer of the append lost': async (fleet) => {
    await fleet.log.addFault({ path: STREAM, kind: 'lost-answer', count: 12, forMs: OUTAGE_MS });
    return switchPreset(fleet);
  },

  'the log out before and at the start': async (fleet) => {
    await fleet.log.addFault({ kind: 'unavailable', forMs: OUTAGE_MS });
    return switchPreset(fleet);
  },

  'the log silent during the append': async (fleet) => {
    await fleet.log.addFault({ path: STREAM, kind: 'silent', forMs: OUTAGE_MS });
    return switchPreset(fleet);
  },

  'the log out for all but one daemon': async (fleet) => {
    cutLog(fleet.daemons.slice(1));
    return switchPreset(fleet);
  },

  'the log out from the answer on': async (fleet) => {
    cutLog(fleet.daemons.slice(1));
    const changed = await switchPreset(fleet);
    cutLog(fleet.daemons);
    return changed;
  },

  'two daemons cut from the log and from the one asked': async (fleet) => {
    cutLog(fleet.daemons.slice(2));
    fleet.daemons.slice(2).forEach((other) => fleet.partition(daemonOf(fleet, 1), other));
    return switchPreset(fleet);
  },

  'one daemon reading a replica with an older end': async (fleet) => {
    const last = lastDaemonOf(fleet);
    await restartOnReplica(fleet, last);
    await fleet.waitUntilReady(last);
    await fleet.log.setState({ replicaLag: REPLICA_LAG_MS });
    return switchPreset(fleet);
  },

  'the daemon asked reading a replica with an older end': async (fleet) => {
    const first = daemonOf(fleet, 1);
    await restartOnReplica(fleet, first);
    await fleet.waitUntilReady(first);
    await fleet.log.setState({ replicaLag: REPLICA_LAG_MS });
    return switchPreset(fleet);
  },

  'a daemon starting on a replica with an older end': async (fleet) => {
    await fleet.log.setState({ replicaLag: REPLICA_LAG_MS });
    const changed = await switchPreset(fleet);
    // The delay lets the replica answer before the daemon learns from the VM list which peers to
    // ask.
    await fleet.vmList.addFault({ kind: 'delay', delayMs: 500 });
    await restartOnReplica(fleet, lastDaemonOf(fleet));
    return { ...changed, fromMs: performance.now() };
  },

  'a daemon started in an outage of the log': async (fleet, watch) => {
    const changed = await switchPreset(fleet);
    await fleet.log.addFault({ kind: 'unavailable' });
    watch.add(await fleet.addDaemon());
    return { ...changed, fromMs: performance.now() };
  },

  'a daemon restarted after retention dropped the early records': async (fleet) => {
    const changed = await switchPreset(fleet);
    const { version } = changed.answer;
    await waitFor(
      'retention to drop the change',
      async () => {
        const { streams } = await fleet.log.readRecord<{
          streams: Record<string, { offset: number }[]>;
        }>();
        return (streams.configuration?.[0]?.offset ?? 0) > version;
      },
      { timeoutMs: 8000, intervalMs: 50 },
    );
    const last = lastDaemonOf(fleet);
    await last.process.kill();
    // Without peers the daemon can recover the state only from the snapshot in the log.
    fleet.daemons.slice(0, -1).forEach((other) => fleet.partition(last, other));
    await fleet.restartDaemon(last);
    return { ...changed, fromMs: performance.now() };
  },

  'a daemon frozen over it and resumed': async (fleet) => {
    const last = lastDaemonOf(fleet);
    last.process.pause();
    const changed = await switchPreset(fleet);
    await sendChange(fleet, 2, { kind: 'switch-preset', name: 'quiet' });
    const latest = await sendChange(fleet, 1, SWITCH_TO_PEAK);
    if (changed.answer.verdict !== 'accepted') throw new Error(changed.answer.reason);
    last.process.resume();
    return { answer: latest, fromMs: performance.now() };
  },

  'a daemon frozen past its fencing and resumed': async (fleet) => {
    const last = lastDaemonOf(fleet);
    last.process.pause();
    const changed = await switchPreset(fleet);
    await waitFor(
      'the frozen daemon to be removed',
      async () => {
        const { vms } = await fleet.operatorClient(daemonOf(fleet, 1)).calls.status({});
        return !vms.some(({ vm }) => vm === last.name);
      },
      { timeoutMs: 10_000, intervalMs: 100 },
    );
    last.process.resume();
    return { ...changed, fromMs: performance.now() };
  },

  'every daemon cut from the log and healed': async (fleet) => {
    cutLog(fleet.daemons);
    const pending = switchPreset(fleet);
    await waitFor('the daemons to lose their log connections', () =>
      fleet.daemons.every(isLogDisconnected),
    );
    healLog(fleet.daemons);
    return pending;
  },
};

function isLogDisconnected({ links }: FleetDaemon): boolean {
  return links?.log.countOpenConnections() === 0;
}
