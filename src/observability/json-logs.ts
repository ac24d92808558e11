import { createConsola, LogLevels, type ConsolaInstance, type LogObject } from 'consola';

import { Logs, type LogFields } from './logs.js';

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes one JSON object per line, using consola. */
export class JsonLogs extends Logs {
  private constructor(private readonly consola: ConsolaInstance) {
    super();
  }

  /**
   * Creates a log writer.
   *
   * @param level - minimum level that is written
   * @param vm - name of this VM, written on each line
   * @param write - receives each line, including the line terminator
   * @returns a new log writer
   */
  static create(
    level: LogLevel,
    vm: string,
    write: (line: string) => void = (line) => process.stdout.write(line),
  ): JsonLogs {
    const reporter = { log: (entry: LogObject) => write(formatLine(entry, vm)) };
    return new JsonLogs(createConsola({ level: LogLevels[level], reporters: [reporter] }));
  }

  override debug(message: string, fields: LogFields = {}): void {
    this.consola.debug(message, fields);
  }

  override info(message: string, fields: LogFields = {}): void {
    this.consola.info(message, fields);
  }

  override warn(message: string, fields: LogFields = {}): void {
    this.consola.warn(message, fields);
  }

  override error(message: string, fields: LogFields = {}): void {
    this.consola.error(message, fields);
  }
}

function formatLine(entry: LogObject, vm: string): string {
  const [message, fields] = entry.args as [string, LogFields];
  const line = { time: entry.date.toISOString(), level: entry.type, vm, message, ...fields };
  return `${JSON.stringify(line)}\n`;
}
