import type { Command } from './command.js';
import { EXIT_CODE } from './exit-code.js';
import { sendAndPrintChange } from './send-change.js';
import { fetchConfiguration } from './fetch-configuration.js';

const NAME = { name: 'name of the team' };

/** Commands about teams and their rates. */
export const TEAM_COMMANDS: readonly Command[] = [
  {
    syntax: 'team put <name>',
    describe: 'create a team or replace its values',
    example: 'team put oval-crew --rate 4000 --burst 16000',
    positionals: NAME,
    options: {
      rate: {
        type: 'number',
        demandOption: true,
        describe: 'tokens per second over the whole fleet',
      },
      burst: {
        type: 'number',
        demandOption: true,
        describe: 'tokens that may be used at once after a pause',
      },
      weight: { type: 'number', default: 1, describe: 'relative share when capacity is scarce' },
    },
    run: (context, args) => {
      const name = args.string('name');
      const [rate, burst, weight] = ['rate', 'burst', 'weight'].map((field) => args.number(field));
      const team = { name, rate, burst, weight };
      return sendAndPrintChange(context, { kind: 'put-team', team }, `team/${name}`);
    },
  },
  {
    syntax: 'team remove <name>',
    describe: 'remove a team and withdraw its keys',
    example: 'team remove oval-crew',
    positionals: NAME,
    run: (context, args) => {
      const name = args.string('name');
      return sendAndPrintChange(context, { kind: 'remove-team', name }, `team/${name}`);
    },
  },
  {
    syntax: 'team list',
    describe: 'list the teams',
    example: 'team list --json',
    run: async (context) => {
      const { teams, subjects } = await fetchConfiguration(context);
      const rows = teams.map((team) => ({ ...team, version: subjects[`team/${team.name}`] ?? 0 }));
      context.print(rows, rows);
      return EXIT_CODE.done;
    },
  },
  {
    syntax: 'rate set <name>',
    describe: 'change the rate of a team and keep its other values',
    example: 'rate set oval-crew --rate 6000',
    positionals: NAME,
    options: {
      rate: { type: 'number', describe: 'tokens per second over the whole fleet' },
      burst: { type: 'number', describe: 'tokens that may be used at once after a pause' },
    },
    run: async (context, args) => {
      const name = args.string('name');
      const { teams, subjects } = await fetchConfiguration(context);
      const team = teams.find((other) => other.name === name);
      if (!team) {
        const row = { subject: `team/${name}`, verdict: 'invalid', reason: 'the team is unknown' };
        context.print([row], row);
        return EXIT_CODE.invalid;
      }
      const rate = args.number('rate') ?? team.rate;
      const burst = args.number('burst') ?? team.burst;
      const base = context.base ?? subjects[`team/${name}`];
      const change = { kind: 'put-team', team: { ...team, rate, burst } };
      return sendAndPrintChange(context, change, `team/${name}`, base);
    },
  },
];
