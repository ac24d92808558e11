import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');

/** Collects all garbage, so that the heap in use can be compared before and after a step. */
export const collectGarbage = runInNewContext('gc') as () => void;
