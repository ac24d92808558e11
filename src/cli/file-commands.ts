import { subjectOf } from '../configuration/change.js';
import { loadChanges } from '../configuration/load-changes.js';
import { loadSettings } from '../settings/load.js';
import type { Command } from './command.js';
import { EXIT_CODE, exitCodeOf } from './exit-code.js';
import { sendChange, type SentChange } from './send-change.js';

const FILE = { file: 'path of the JSON file' };

/** Commands that read files. */
export const FILE_COMMANDS: readonly Command[] = [
  {
    words: 'settings check <file>',
    describe: 'check a settings file and name every fault, without a daemon',
    example: 'settings check examples/nicovale/settings.json',
    positionals: FILE,
    run: async (context, args) => {
      const loaded = await loadSettings(args.text('file'));
      if (loaded.kind === 'ok') {
        context.print([{ file: args.text('file'), faults: 0 }], { faults: [] });
        return EXIT_CODE.done;
      }
      const { faults } = loaded.failure;
      context.print(
        faults.map((fault) => ({ ...fault })),
        { faults },
      );
      return EXIT_CODE.invalid;
    },
  },
  {
    words: 'apply <file>',
    describe: 'send the changes of a file one by one; stops at the first that is not accepted',
    example: 'apply examples/nicovale/configuration.json',
    positionals: FILE,
    run: async (context, args) => {
      const loaded = await loadChanges(args.text('file'));
      if (loaded.kind === 'failed') {
        const { faults } = loaded.failure;
        context.print(
          faults.map((fault) => ({ ...fault })),
          { faults },
        );
        return EXIT_CODE.invalid;
      }
      const sent: SentChange[] = [];
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
