import { subjectOf } from '../configuration/change.js';
import { loadChanges } from '../configuration/load-changes.js';
import { loadSettings } from '../settings/load.js';
import type { FileFailure } from '../settings/file-failure.js';
import type { Command, CommandContext } from './command.js';
import { EXIT_CODE, type ExitCode, exitCodeOf } from './exit-code.js';
import { sendChange, type ChangeResult } from './send-change.js';

const FILE = { file: 'path of the JSON file' };

function printFaults(context: CommandContext, { file, faults }: FileFailure): ExitCode {
  const rows = faults.map((fault) => ({ file, ...fault }));
  context.print(rows, { file, faults });
  return EXIT_CODE.invalid;
}

/** Commands that read files. */
export const FILE_COMMANDS: readonly Command[] = [
  {
    syntax: 'settings check <file>',
    describe: 'validate a settings file and report every fault, without a daemon',
    example: 'settings check examples/nicovale/settings.json',
    positionals: FILE,
    run: async (context, args) => {
      const loaded = await loadSettings(args.string('file'));
      if (loaded.kind === 'ok') {
        context.print([{ file: args.string('file'), faults: 0 }], { faults: [] });
        return EXIT_CODE.done;
      }
      return printFaults(context, loaded.failure);
    },
  },
  {
    syntax: 'apply <file>',
    describe: 'send the changes of a file one by one; stop at the first that is not accepted',
    example: 'apply examples/nicovale/configuration.json',
    positionals: FILE,
    options: {
      check: { type: 'boolean', default: false, describe: 'validate the file and send nothing' },
    },
    run: async (context, args) => {
      const loaded = await loadChanges(args.string('file'));
      if (loaded.kind === 'failed') return printFaults(context, loaded.failure);
      if (args.flag('check')) {
        const row = { file: args.string('file'), changes: loaded.value.length, faults: 0 };
        context.print([row], row);
        return EXIT_CODE.done;
      }
      if (context.base !== undefined && loaded.value.length !== 1) {
        console.error('--base goes with a file of one change: each subject has its own version');
        return EXIT_CODE.usage;
      }
      const sent: ChangeResult[] = [];
      for (const change of loaded.value) {
        sent.push(await sendChange(context, change, subjectOf(change)));
        if (sent.at(-1)?.verdict !== 'accepted') break;
      }
      context.print(
        sent.map((row) => ({ ...row })),
        sent,
      );
      return exitCodeOf(sent.at(-1)?.verdict ?? 'accepted');
    },
  },
];
