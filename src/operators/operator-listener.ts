import { Service } from '../kernel/service.js';

/** Serves the calls of operators, which cuminsparctl makes. */
export abstract class OperatorListener extends Service {}

declare module '../kernel/service.js' {
  interface Services {
    operators: OperatorListener;
  }
}
