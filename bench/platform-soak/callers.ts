import { Agent, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { PLATFORM_HOST, PLATFORM_KEY } from '../../harness/platform-fixtures.js';
import { readAnswer } from '../../harness/read-answer.js';
import { digestBody } from './answers.js';
import type { SoakPlatform } from './soak-platform.js';
import type { SoakVm } from './soak-vm.js';

/** Outcome of one request as its caller saw it. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: 'order' | 'plan' | 'stranger';
  readonly atMs: number;
  /** Time at which the response ended or failed. */
  readonly endedMs: number;
  /** Host of the VM that was called. */
  readonly host: string;
  /** Whether the caller read the response slowly. */
  readonly slow: boolean;
  /** 0 when the connection failed before the response headers arrived. */
  readonly status: number;
  readonly bytes: number;
  /** Digest of the received body. */
  readonly digest: string;
  /** Value of the response header `server-seal`. */
  readonly seal: string | undefined;
  /**
   * True when the response was received to its end. One without length or chunks ends with an ordinary
   * close of its connection.
   */
  readonly complete: boolean;
}

const DEADLINE_MS = 3000;
const ENTRY_TTL_MS = 1000;
const REQUEST_INTERVAL_MS = 60;

/** Time for which slow callers read nothing after the head, in milliseconds. */
const HEAD_PAUSE_MS = 300;

/** Body of a complete answer to a plan request. */
export const COMPLETE_PLAN_BODY = [1, 2, 3]
  .map((id) => `id: ${id}\ndata: token ${id}\n\n`)
  .join('');

/**
 * Sends requests as a real caller does: it resolves entry addresses, caches them for `ENTRY_TTL_MS`, and
 * keeps its connections alive.
 */
export class Caller {
  readonly records: RequestRecord[] = [];

  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });

  private addresses: readonly string[] = [];

  private refreshedMs = 0;

  private sentCount = 0;

  private constructor(
    private readonly name: string,
    private readonly platform: SoakPlatform,
    private readonly chunkPauseMs: number,
  ) {}

  /**
   * Creates a caller.
   *
   * @param name - prefix of its request ids
   * @param platform - platform whose VMs resolve its entry addresses
   * @param chunkPauseMs - pause after each chunk that it reads, in milliseconds; 0 for a fast caller
   * @returns a caller that has not sent any request yet
   */
  static create(name: string, platform: SoakPlatform, chunkPauseMs: number): Caller {
    return new Caller(name, platform, chunkPauseMs);
  }

  /**
   * Sends requests one after another, and closes the connections at the end.
   *
   * @param isRunning - returns false when no further request is to be sent
   */
  async run(isRunning: () => boolean): Promise<void> {
    while (isRunning()) {
      await this.sendNext();
      await delay(REQUEST_INTERVAL_MS);
    }
    this.agent.destroy();
  }

  private async sendNext(): Promise<void> {
    this.sentCount += 1;
    const kind =
      this.sentCount % 10 === 0 ? 'stranger' : (['order', 'plan'] as const)[this.sentCount % 2]!;
    const address = await this.chooseAddress();
    if (!address) return;
    this.records.push(await this.send(address, kind, `${this.name}-${this.sentCount}`));
  }

  private async chooseAddress(): Promise<string | undefined> {
    if (Date.now() - this.refreshedMs > ENTRY_TTL_MS) {
      const { vms } = this.platform;
      const vm = vms[Math.floor(Math.random() * vms.length)]!;
      this.addresses = (await fetchEntryAddresses(vm)) ?? this.addresses;
      this.refreshedMs = Date.now();
    }
    return this.addresses[Math.floor(Math.random() * this.addresses.length)];
  }

  private send(address: string, kind: RequestRecord['kind'], id: string): Promise<RequestRecord> {
    const [host = '', port] = address.split(':');
    const target = kind === 'plan' ? '/plan/a' : `/order/${id}`;
    const headers = {
      Host: PLATFORM_HOST,
      'Attempt-Id': id,
      'Deadline-Ms': String(DEADLINE_MS),
      Authorization: `Bearer ${kind === 'stranger' ? 'unknown' : PLATFORM_KEY}`,
      ...(kind === 'plan' ? { 'Token-Count': '100,50', Model: 'm' } : {}),
    };
    const empty = { status: 0, bytes: 0, digest: '', seal: undefined, complete: false };
    const slow = this.chunkPauseMs > 0;
    const record = { id, kind, host, slow, atMs: Date.now(), ...empty };
    return new Promise((resolve) => {
      const end = (result: Partial<RequestRecord>) =>
        resolve({ ...record, ...result, endedMs: Date.now() });
      const options = { host, port, path: target, headers, agent: this.agent };
      const call = request(options, (response) => {
        const seal = response.headers['server-seal'] as string | undefined;
        const result = { status: response.statusCode ?? 0, seal };
        const { chunkPauseMs } = this;
        const start = chunkPauseMs > 0 ? delay(HEAD_PAUSE_MS) : undefined;
        const pace = { start, pauseMs: () => chunkPauseMs };
        void readAnswer(response, pace).then(({ bytes, isComplete }) =>
          end({
            ...result,
            bytes: bytes.length,
            digest: digestBody(bytes),
            complete: isComplete,
          }),
        );
      });
      call.setTimeout(DEADLINE_MS + 1000, () => call.destroy());
      call.on('error', () => end({}));
      call.end();
    });
  }
}

/** Fetches entry addresses from a VM; undefined when the request fails or is not answered with 200. */
function fetchEntryAddresses({ host, ports }: SoakVm): Promise<readonly string[] | undefined> {
  return new Promise((resolve) => {
    const options = { host, port: ports.directory, path: `/resolve?name=${PLATFORM_HOST}` };
    const call = request({ ...options, agent: false, timeout: 1000 }, (response) => {
      let body = '';
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      response.on('error', () => resolve(undefined));
      response.on('end', () => resolve(parseAddresses(response.statusCode, body)));
    });
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(undefined));
    call.end();
  });
}

function parseAddresses(status: number | undefined, body: string): readonly string[] | undefined {
  if (status !== 200) return undefined;
  return (JSON.parse(body) as { addresses: string[] }).addresses;
}
