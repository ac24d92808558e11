import { request } from 'undici';

/** Body of `POST /faults`; see docs/interfaces.md. */
export interface FaultSpec {
  readonly path?: string;
  readonly kind: string;
  readonly count?: number;
  readonly delayMs?: number;
  readonly forMs?: number;
  readonly text?: string;
  readonly listener?: string;
}

/** Client of the admin listener of a stand-in. */
export interface AdminClient {
  /** Returns the body of `GET /record`: what the stand-in has recorded. */
  readonly readRecord: <Content>() => Promise<Content>;
  readonly addFault: (fault: FaultSpec) => Promise<void>;
  readonly clearFaults: () => Promise<void>;
  readonly setState: (state: unknown) => Promise<void>;
}

/**
 * Creates a client of an admin listener.
 *
 * @param adminUrl - URL of the admin listener
 * @returns the client
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
