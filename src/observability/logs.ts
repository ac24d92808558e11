import { Service } from '../kernel/service.js';

/** Fields of a log line in addition to time, level and message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines as JSON. Keys and prompts must never be passed to it. */
export abstract class Logs extends Service {
  /** Writes a line of level `debug`. */
  abstract debug(message: string, fields?: LogFields): void;

  /** Writes a line of level `info`. */
  abstract info(message: string, fields?: LogFields): void;

  /** Writes a line of level `warn`. */
  abstract warn(message: string, fields?: LogFields): void;

  /** Writes a line of level `error`. */
  abstract error(message: string, fields?: LogFields): void;
}

declare module '../kernel/service.js' {
  interface Services {
    logs: Logs;
  }
}
