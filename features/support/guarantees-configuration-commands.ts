import type { Fleet } from '../../harness/fleet.js';
import { daemonNamed, daemonOf } from '../../harness/find-daemon.js';
import {
  type ChangeAnswer,
  readBaseVersion,
  sendChange,
} from './guarantees-configuration-fleet.js';

/** Versions that replace the placeholders of a command. */
export interface CommandVersions {
  readonly newest: number;
  readonly stale: number;
}

/** Fleet states in which a command runs, by their name in the feature file. */
export const COMMAND_STATES: Readonly<Record<string, (fleet: Fleet) => Promise<ChangeAnswer>>> = {
  'a change just accepted': (fleet) => switchToPeak(fleet),
  'daemon 3 frozen over it': (fleet) => {
    daemonNamed(fleet, 'vm-3').process.pause();
    return switchToPeak(fleet);
  },
  'the log out': async (fleet) => {
    const answer = await switchToPeak(fleet);
    await fleet.log.addFault({ kind: 'unavailable' });
    return answer;
  },
  'daemon 1 killed': async (fleet) => {
    const answer = await switchToPeak(fleet);
    await daemonNamed(fleet, 'vm-1').process.kill();
    return answer;
  },
};

/**
 * Replaces the version placeholders of a command.
 *
 * @param command - command line with `NEWEST`, `NEXT` or `STALE`
 * @param versions - values of the placeholders
 * @returns the command's arguments
 */
export function fillVersions(command: string, { newest, stale }: CommandVersions): string[] {
  return command
    .replace('NEWEST', String(newest))
    .replace('NEXT', String(newest + 1))
    .replace('STALE', String(stale))
    .split(' ');
}

async function switchToPeak(fleet: Fleet): Promise<ChangeAnswer> {
  const number = fleet.daemons.indexOf(daemonNamed(fleet, 'vm-2')) + 1;
  // Ask the daemon that takes the change: another one may be frozen and would not answer.
  const base = await readBaseVersion(fleet, 'preset-in-force', number);
  const answer = await sendChange(fleet, number, { kind: 'switch-preset', name: 'peak' }, base);
  if (answer.verdict !== 'accepted')
    throw new Error(`${daemonOf(fleet, number).name}: ${answer.reason}`);
  return answer;
}
