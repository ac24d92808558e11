import { launchProcess, type LaunchedProcess } from './process-launcher.js';
import { createAdminClient, type AdminClient } from './admin-client.js';

/** Names of the programs under stand-ins/. */
export type StandInName =
  'model-engine' | 'plain-service' | 'log-service' | 'vm-list' | 'weight-store';

/** A running stand-in. */
export interface LaunchedStandIn extends AdminClient {
  readonly process: LaunchedProcess;
  /** `host:port` of the protocol listener. */
  readonly address: string;
  /** URL of the protocol listener, without a trailing slash. */
  readonly url: string;
  /** URL of the log replica; only the log service has one. */
  readonly replicaUrl: string;
  /** Kills the stand-in and restarts it on the same ports. */
  readonly restart: () => Promise<LaunchedStandIn>;
}

/**
 * Starts a stand-in on free ports.
 *
 * @param name - name of the program
 * @param args - command line options, without the ports
 * @returns the running stand-in
 */
export async function launchStandIn(
  name: StandInName,
  args: readonly string[] = [],
): Promise<LaunchedStandIn> {
  return describeStandIn(
    await launchProcess(`stand-ins/${name}`, {
      args,
      restartArgs: ({ port, adminPort, replicaPort }) => {
        const replica = replicaPort === undefined ? [] : ['--replica-port', String(replicaPort)];
        return [...args, '--port', String(port), '--admin-port', String(adminPort), ...replica];
      },
    }),
  );
}

function describeStandIn(launched: LaunchedProcess): LaunchedStandIn {
  const { host, port, adminPort, replicaPort } = launched.ready;
  return {
    ...createAdminClient(`http://${String(host)}:${String(adminPort)}`),
    process: launched,
    address: `${String(host)}:${String(port)}`,
    url: `http://${String(host)}:${String(port)}`,
    replicaUrl: `http://${String(host)}:${String(replicaPort)}`,
    restart: async () => describeStandIn(await launched.restart()),
  };
}
