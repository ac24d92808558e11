import { After } from '@cucumber/cucumber';

import { endLaunchedProcesses } from '../../harness/process-launcher.js';
import { closeRelays } from '../../harness/tcp-relay.js';

After(async () => {
  await closeRelays();
  await endLaunchedProcesses();
});
