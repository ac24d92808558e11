import type { Fleet } from '../../harness/fleet.js';
import { daemonNamed, daemonOf } from '../../harness/find-daemon.js';
import {
  type ChangeAnswer,
  readBaseVersion,
  sendChange,
} from './guarantees-configuration-fleet.js';

/** Versions that the words of a command stand for. */
export interface CommandVersions {
  readonly newest: number;
  readonly stale: number;
}

/** States of the fleet in which a command is run, by the name in the feature. */
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
 * Fills in the versions of a command.
 *
 * @param command - words with `NEWEST`, `NEXT` or `STALE`
 * @param versions - what they stand for
 * @returns the arguments
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
  // Another daemon may be frozen and would not answer.
  const base = await readBaseVersion(fleet, 'preset-in-force', number);
  const answer = await sendChange(fleet, number, { kind: 'switch-preset', name: 'peak' }, base);
  if (answer.verdict !== 'accepted')
    throw new Error(`${daemonOf(fleet, number).name}: ${answer.reason}`);
  return answer;
}
