import { Service } from '../kernel/service.js';

/** Serves cuminsparctl. */
export abstract class OperatorListener extends Service {}

declare module '../kernel/service.js' {
  interface Services {
    operators: OperatorListener;
  }
}
