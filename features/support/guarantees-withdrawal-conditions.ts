import type { Fleet, FleetDaemon } from '../../harness/fleet.js';
import { isolate } from './guarantees-entry.js';

/** Puts the fleet into a faulty condition before a key is withdrawn. */
export type WithdrawalCondition = (fleet: Fleet) => Promise<void> | void;

function firstAndLast(fleet: Fleet): { first: FleetDaemon; last: FleetDaemon } {
  const [first] = fleet.daemons;
  const last = fleet.daemons.at(-1);
  if (!first || !last) throw new Error('the fleet has no daemons');
  return { first, last };
}

/** Conditions by their name in the feature file; the withdrawal is sent to the first daemon. */
export const WITHDRAWAL_CONDITIONS: ReadonlyMap<string, WithdrawalCondition> = new Map<
  string,
  WithdrawalCondition
>([
  ['nothing is wrong', () => {}],
  ['the log is out', (fleet) => fleet.log.addFault({ kind: 'unavailable' })],
  ['the log never answers', (fleet) => fleet.log.addFault({ kind: 'silent' })],
  [
    'the log loses its answers to appends',
    (fleet) => fleet.log.addFault({ kind: 'lost-answer', path: '/v1/streams/configuration' }),
  ],
  [
    'one daemon cannot reach the one that was told',
    (fleet) => {
      const { first, last } = firstAndLast(fleet);
      fleet.partition(first, last);
    },
  ],
  [
    'one daemon cannot reach the log nor the one that was told',
    (fleet) => {
      const { first, last } = firstAndLast(fleet);
      fleet.partition(first, last);
      last.links?.log.cut();
    },
  ],
  [
    'the log is out, and one daemon cannot reach the one that was told',
    async (fleet) => {
      const { first, last } = firstAndLast(fleet);
      fleet.partition(first, last);
      await fleet.log.addFault({ kind: 'unavailable' });
    },
  ],
  [
    'one daemon is cut off',
    (fleet) => {
      isolate(fleet, firstAndLast(fleet).last);
    },
  ],
]);
