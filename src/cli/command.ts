import type { Client } from '@connectrpc/connect';
import type { Options } from 'yargs';

import type { OperatorService } from '../gen/cuminspar/operator/v1/operator_pb.js';
import type { Arguments } from './arguments.js';
import type { ExitCode } from './exit-code.js';
import type { Row } from './table.js';

/** Client of the operator service. */
export type OperatorClient = Client<typeof OperatorService>;

/** Client, global options and output of a command. */
export interface CommandContext {
  readonly client: OperatorClient;
  /** Base version given by the operator; undefined selects the current version on the daemon. */
  readonly base: number | undefined;
  readonly operator: string;
  /** Prints rows as a table, or the value as JSON when `--json` was given. */
  readonly print: (rows: readonly Row[], value: unknown) => void;
}

/** A command of cuminsparctl. */
export interface Command {
  /** Command words and positional arguments, for example `team put <name>`. */
  readonly syntax: string;
  readonly describe: string;
  readonly example: string;
  readonly positionals?: Readonly<Record<string, string>>;
  readonly options?: Readonly<Record<string, Options>>;
  readonly run: (context: CommandContext, args: Arguments) => Promise<ExitCode>;
}
