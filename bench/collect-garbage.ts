import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');

/** Runs a full garbage collection, so that the used heap can be compared before and after a step. */
export const collectGarbage = runInNewContext('gc') as () => void;
