import type { Command } from './command.js';
import { EXIT_CODE } from './exit-code.js';
import { sendAndPrintChange } from './send-change.js';
import { fetchConfiguration } from './fetch-configuration.js';

const NAME = { name: 'name of the preset' };

/** Commands about presets. */
export const PRESET_COMMANDS: readonly Command[] = [
  {
    syntax: 'preset create <name>',
    describe: 'create a preset or replace its values; "preset switch" puts it in force',
    example: 'preset create peak --rate-factor 0.8 --queue-ms 500',
    positionals: NAME,
    options: {
      'rate-factor': { type: 'number', describe: 'multiplies every rate and burst' },
      'queue-ms': { type: 'number', describe: 'maximum wait before a request is refused, in ms' },
      'first-token-ms': {
        type: 'number',
        describe: 'target for the time to the first token, in ms',
      },
      'between-tokens-ms': {
        type: 'number',
        describe: 'target for the time between two tokens, in ms',
      },
      'affinity-tokens': {
        type: 'number',
        describe:
          'prefer a server with a cached prefix while its queue exceeds the shortest by at most this many prompt tokens',
      },
      'reserved-slots': {
        type: 'number',
        describe: 'decode slots that a team beyond its rate leaves free for teams within theirs',
      },
      maintenance: { type: 'boolean', default: false, describe: 'refuse requests that need a key' },
    },
    run: (context, args) => {
      const name = args.string('name');
      const fields = [
        'rateFactor',
        'queueMs',
        'firstTokenMs',
        'betweenTokensMs',
        'affinityTokens',
        'reservedSlots',
      ];
      const numbers = Object.fromEntries(fields.map((field) => [field, args.number(field)]));
      const preset = { name, ...numbers, maintenance: args.flag('maintenance') };
      return sendAndPrintChange(context, { kind: 'put-preset', preset }, `preset/${name}`);
    },
  },
  {
    syntax: 'preset switch <name>',
    describe: 'put a preset in force instead of the current one',
    example: 'preset switch peak',
    positionals: NAME,
    run: (context, args) => {
      const name = args.string('name');
      return sendAndPrintChange(context, { kind: 'switch-preset', name }, 'preset-in-force');
    },
  },
  {
    syntax: 'preset show [name]',
    describe: 'show a preset; without a name, the one in force',
    example: 'preset show',
    positionals: NAME,
    run: async (context, args) => {
      const { presets, presetInForce } = await fetchConfiguration(context);
      const name = args.optionalString('name') ?? presetInForce;
      const preset = presets.find((other) => other.name === name);
      if (!preset) {
        context.print([], { error: `preset ${name} is unknown` });
        return EXIT_CODE.failed;
      }
      const rows = Object.entries(preset).map(([field, value]) => ({
        field,
        value: String(value),
      }));
      context.print(rows, preset);
      return EXIT_CODE.done;
    },
  },
  {
    syntax: 'preset list',
    describe: 'list the presets and mark the one in force',
    example: 'preset list',
    run: async (context) => {
      const { presets, presetInForce } = await fetchConfiguration(context);
      const rows = presets.map((preset) => ({ ...preset, inForce: preset.name === presetInForce }));
      context.print(rows, rows);
      return EXIT_CODE.done;
    },
  },
];
