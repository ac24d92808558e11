import { request } from 'undici';

/** A fault as docs/interfaces.md describes it. */
export interface FaultSpec {
  readonly path?: string;
  readonly kind: string;
  readonly count?: number;
  readonly delayMs?: number;
  readonly forMs?: number;
  readonly text?: string;
  readonly listener?: string;
}

/** The admin listener of one stand-in. */
export interface AdminClient {
  /** Reads what the stand-in has recorded. */
  readonly readRecord: <Content>() => Promise<Content>;
  readonly addFault: (fault: FaultSpec) => Promise<void>;
  readonly clearFaults: () => Promise<void>;
  readonly setState: (state: unknown) => Promise<void>;
}

/**
 * Creates a recorder.
 *
 * @param adminUrl - URL of the admin listener
 * @returns functions that read the record and set faults and state
 */
export function createAdminClient(adminUrl: string): AdminClient {
  const call = async (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const answer = await request(`${adminUrl}${path}`, { method, body: text, reset: true });
    const content = await answer.body.text();
    if (answer.statusCode === 200) return JSON.parse(content) as unknown;
    throw new Error(`${method} ${path} was answered ${answer.statusCode}: ${content}`);
  };
  return {
    readRecord: async <Content>() => (await call('GET', '/record')) as Content,
    addFault: async (fault) => {
      await call('POST', '/faults', fault);
    },
    clearFaults: async () => {
      await call('DELETE', '/faults');
    },
    setState: async (state) => {
      await call('POST', '/state', state);
    },
  };
}
