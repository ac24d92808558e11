import { Service } from '../kernel/service.js';

/** Serves cuminsparctl. */
export abstract class OperatorEntry extends Service {}

declare module '../kernel/service.js' {
  interface Services {
    operators: OperatorEntry;
  }
}
