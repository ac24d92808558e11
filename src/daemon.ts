#!/usr/bin/env node
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { assembleDaemon } from './assembly.js';
import { Kernel } from './kernel/kernel.js';
import { SystemClock } from './kernel/system-clock.js';
import { loadSettings } from './settings/load.js';
import type { Settings } from './settings/schema.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FORCED = 1;

const options = await yargs(hideBin(process.argv))
  .scriptName('cuminspard')
  .usage('$0 --settings FILE\n\nRoutes requests of several teams to prefill and decode pools.')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe:
      'JSON settings file with addresses, availability zone, platform and limits of this VM',
  })
  .example('$0 --settings examples/savannah-stripe/settings.json', 'start the daemon of one VM')
  .epilogue(
    'Signals: SIGTERM or SIGINT finishes requests and exits with 0; a second one exits immediately with 1.\n' +
      'Exit codes: 0 clean shutdown, 1 forced or failed, 2 invalid settings.',
  )
  .strict()
  .parse();

const loaded = await loadSettings(options.settings);
if (loaded.kind === 'failed') {
  process.stderr.write(`${loaded.failure.message}\n`);
  process.exit(EXIT_INVALID_SETTINGS);
}
await runDaemon(loaded.value);

async function runDaemon(settings: Settings): Promise<void> {
  const kernel = Kernel.create();
  assembleDaemon(kernel, settings, SystemClock.create());
  const logs = kernel.find('logs');
  let stopping = false;
  const stop = async (signal: string) => {
    if (stopping) process.exit(EXIT_FORCED);
    stopping = true;
    logs.info('shutting down', { signal });
    kernel.find('callers').drain();
    // Entry-address answers stay valid for `validForMs`, counted from the last one that lists this VM,
    // so the other members must stop listing it before the callers service counts that time and stops.
    await kernel.find('membership').drain();
    await kernel.stop();
    logs.info('stopped');
    process.exit(0);
  };
  const onSignal = (signal: string) => {
    void stop(signal);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('uncaughtException', (error) => {
    logs.error('uncaught exception, exiting with code 1', {
      error: error.message,
      stack: error.stack,
    });
    process.exit(EXIT_FORCED);
  });
  await kernel.start();
  logs.info('ready', {
    callers: `${settings.callers.host}:${settings.callers.port}`,
    peers: `${settings.peers.host}:${settings.peers.port}`,
    operators: `${settings.operators.host}:${settings.operators.port}`,
  });
}
