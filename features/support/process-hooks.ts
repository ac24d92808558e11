import { After } from '@cucumber/cucumber';

import { killLaunchedProcesses } from '../../harness/process-launcher.js';
import { closeRelays } from '../../harness/tcp-relay.js';

After(async () => {
  await closeRelays();
  await killLaunchedProcesses();
});
