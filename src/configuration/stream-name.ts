/** Stream of the log service that holds the configuration. */
export const CONFIGURATION_STREAM = 'configuration';
