import { Code, ConnectError } from '@connectrpc/connect';
import yargs, { type Argv } from 'yargs';

import { MemberClients } from '../operators/member-clients.js';
import { Arguments } from './arguments.js';
import type { Command } from './command.js';
import { readToken, parseAddress, TOKEN_ENV_VAR } from './connect.js';
import { EXIT_CODE, EXIT_CODE_HELP, type ExitCode } from './exit-code.js';
import { FILE_COMMANDS } from './file-commands.js';
import { FLEET_COMMANDS } from './fleet-commands.js';
import { KEY_COMMANDS } from './key-commands.js';
import { PRESET_COMMANDS } from './preset-commands.js';
import { formatTable, type Row } from './table.js';
import { TEAM_COMMANDS } from './team-commands.js';

const PROGRAM = 'cuminsparctl';
const COMMANDS = [
  ...FILE_COMMANDS,
  ...TEAM_COMMANDS,
  ...KEY_COMMANDS,
  ...PRESET_COMMANDS,
  ...FLEET_COMMANDS,
];

/**
 * Runs cuminsparctl.
 *
 * @param argv - command-line arguments, without the program
 * @returns the exit code
 */
export async function runCli(argv: readonly string[]): Promise<ExitCode> {
  let code: ExitCode = EXIT_CODE.done;
  const parser = createParser(async (command, values) => {
    code = await runCommand(command, values);
  });
  try {
    await parser.parseAsync([...argv]);
  } catch (error) {
    console.error((error as Error).message);
    return EXIT_CODE.usage;
  }
  return code;
}

type CommandRunner = (command: Command, values: Record<string, unknown>) => Promise<void>;

function createParser(run: CommandRunner): Argv {
  const parser = addGlobalOptions(yargs().scriptName(PROGRAM))
    .usage('$0 COMMAND [OPTIONS]\n\nOperates the daemons of cuminspar.')
    .epilogue(EXIT_CODE_HELP)
    .demandCommand(1, 'Specify a command; --help lists them.')
    .strict()
    .version(false)
    .wrap(100)
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new Error(`${message}\nSee ${PROGRAM} --help.`);
    });
  const groups = new Map<string, Command[]>();
  COMMANDS.forEach((command) => {
    const [groupName = ''] = command.syntax.split(' ');
    groups.set(groupName, [...(groups.get(groupName) ?? []), command]);
    parser.example(`$0 ${command.example}`, command.describe);
  });
  groups.forEach((commands, groupName) => addGroup(parser, groupName, commands, run));
  return parser;
}

function addGroup(
  parser: Argv,
  groupName: string,
  commands: readonly Command[],
  run: CommandRunner,
): void {
  const [single] = commands;
  if (single && commands.length === 1 && !/^\S+ [a-z]/.test(single.syntax)) {
    addCommand(parser, single.syntax, single, run);
    return;
  }
  const subcommands = commands.map((command) => command.syntax.split(' ')[1]).join(', ');
  parser.command(groupName, `${groupName} commands: ${subcommands}`, (group) => {
    commands.forEach((command) => {
      addCommand(group, command.syntax.slice(groupName.length + 1), command, run);
    });
    return group.demandCommand(1, `Specify one of: ${subcommands}.`);
  });
}

function addCommand(parser: Argv, syntax: string, command: Command, run: CommandRunner): void {
  parser.command(
    syntax,
    command.describe,
    (builder) => {
      Object.entries(command.positionals ?? {}).forEach(([name, describe]) => {
        builder.positional(name, { type: 'string', describe });
      });
      return builder.options(command.options ?? {}).example(`$0 ${command.example}`, '');
    },
    (values) => run(command, values),
  );
}

function addGlobalOptions(parser: Argv): Argv {
  return parser.options({
    daemon: {
      type: 'string',
      default: '127.0.0.1:8082',
      describe: 'operator listener of any daemon, host:port',
    },
    'token-file': {
      type: 'string',
      describe: `file with the operator token; default: the environment variable ${TOKEN_ENV_VAR}`,
    },
    json: { type: 'boolean', default: false, describe: 'print JSON instead of tables' },
    base: {
      type: 'number',
      describe: "version that the edit is based on; default: the daemon's current version",
    },
    operator: {
      type: 'string',
      default: process.env.USER ?? 'unnamed',
      describe: 'name that is recorded with the change',
    },
  });
}

async function runCommand(command: Command, values: Record<string, unknown>): Promise<ExitCode> {
  const args = Arguments.create(values);
  const address = parseAddress(args.string('daemon'));
  const base = args.number('base');
  if (!address || (base !== undefined && !(Number.isSafeInteger(base) && base >= 0))) {
    console.error('--daemon must be host:port, and --base a whole number of at least 0');
    return EXIT_CODE.usage;
  }
  const token = await readToken(args.optionalString('token-file'));
  if (token.kind === 'failed') {
    console.error(`cannot read the token file: ${token.failure.message}`);
    return EXIT_CODE.usage;
  }
  const clients = MemberClients.create(`Bearer ${token.value}`);
  const print = createPrinter(args.flag('json'));
  const operator = args.string('operator');
  try {
    return await command.run({ client: clients.open(address), base, operator, print }, args);
  } catch (error) {
    return reportFailure(error, args.string('daemon'), clients.mayHaveChanged);
  } finally {
    clients.close();
  }
}

function createPrinter(json: boolean): (rows: readonly Row[], value: unknown) => void {
  return (rows, value) => console.log(json ? JSON.stringify(value) : formatTable(rows));
}

function reportFailure(error: unknown, daemon: string, mayHaveChanged: boolean): ExitCode {
  const failure = ConnectError.from(error);
  const unreachable = [Code.Unavailable, Code.DeadlineExceeded, Code.Aborted];
  if (unreachable.includes(failure.code) && mayHaveChanged) {
    console.error(
      `the outcome is unknown, the daemon at ${daemon} stopped answering: ${failure.rawMessage}`,
    );
    return EXIT_CODE.failed;
  }
  if (unreachable.includes(failure.code)) {
    console.error(`the daemon at ${daemon} cannot be reached: ${failure.rawMessage}`);
    return EXIT_CODE.unreachable;
  }
  console.error(failure.rawMessage);
  return failure.code === Code.InvalidArgument ? EXIT_CODE.invalid : EXIT_CODE.failed;
}
