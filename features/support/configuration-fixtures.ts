import { type Settings, settingsSchema } from '../../src/settings/schema.js';

/** Creates the input of valid settings; top-level fields can be replaced. */
export function createSettingsInput(changed: object = {}): object {
  return {
    vm: { name: 'entry-1', region: 'tt-south', availabilityZone: 'sando' },
    callers: { host: '127.0.0.1', port: 8080 },
    peers: { host: '127.0.0.1', port: 8081 },
    operators: { host: '127.0.0.1', port: 8082, tokenSha256: '0'.repeat(64) },
    platform: {
      log: { urls: ['http://127.0.0.1:9001'] },
      vmList: { url: 'http://127.0.0.1:9002' },
    },
    ...changed,
  };
}

/** Creates settings with a snapshot period in milliseconds. */
export function createSettings(everyMs: number): Settings {
  return settingsSchema.parse(createSettingsInput({ snapshots: { everyMs } }));
}
