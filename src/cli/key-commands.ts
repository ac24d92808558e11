import { generateKey } from '../configuration/keys.js';
import type { Command } from './command.js';
import { EXIT_CODE, exitCodeOf } from './exit-code.js';
import { sendChange } from './send-change.js';
import { fetchConfiguration } from './fetch-configuration.js';

/** Commands about keys. */
export const KEY_COMMANDS: readonly Command[] = [
  {
    syntax: 'key give <team>',
    describe: 'create a key for a team and print it; it cannot be shown again',
    example: 'key give oval-crew',
    positionals: { team: 'team that gets the key' },
    run: async (context, args) => {
      const team = args.string('team');
      const { keyId, text, secretHash } = generateKey();
      const change = { kind: 'give-key', key: { keyId, team, secretHash } };
      const sent = await sendChange(context, change, `key/${keyId}`, 0);
      // If the verdict is unknown, the key may still come into force, and it can be shown only now.
      const shown = sent.verdict === 'accepted' || sent.verdict === 'unknown';
      const row = { ...sent, key: shown ? text : '' };
      context.print([row], row);
      return exitCodeOf(sent.verdict);
    },
  },
  {
    syntax: 'key withdraw <keyId>',
    describe: 'withdraw a key on all members; works while the log is down, too',
    example: 'key withdraw 3f9c21ab77e0',
    positionals: { keyId: 'the part of the key between "ck_" and the second "_"' },
    run: async (context, args) => {
      const keyId = args.string('keyId');
      const response = await context.client.withdrawKey({ keyId, operator: context.operator });
      const { confirmed, unreached, logged } = response;
      context.print(
        [
          {
            key: keyId,
            confirmed: confirmed.join(','),
            unreached: unreached.join(',') || '-',
            logged,
          },
        ],
        { keyId, confirmed, unreached, logged },
      );
      return unreached.length === 0 ? EXIT_CODE.done : EXIT_CODE.notInForce;
    },
  },
  {
    syntax: 'key list',
    describe: 'list the keys by id, without their secrets',
    example: 'key list',
    run: async (context) => {
      const { keys, withdrawnKeyIds } = await fetchConfiguration(context);
      const rows = [
        ...keys.map(({ keyId, team }) => ({ key: keyId, team, state: 'valid' })),
        ...withdrawnKeyIds.map((keyId) => ({ key: keyId, team: '-', state: 'withdrawn' })),
      ];
      context.print(rows, rows);
      return EXIT_CODE.done;
    },
  },
];
