import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  describeUnframed,
  sendUnframed,
  type UnframedAnswer,
  type UnframedRecord,
} from './unframed-answer.js';

/** Stage that a server runs; undefined for a plain service. */
export type PlatformStage = 'prefill' | 'decode' | undefined;

/** A request that a server has received. */
export interface RecordedRequest {
  readonly id: string;
  readonly stage: string | undefined;
  readonly source: string | undefined;
  readonly hold: string | undefined;
  readonly team: string | undefined;
  readonly key: string | undefined;
  /** Answer without length or chunks; undefined for all others. */
  readonly unframed: UnframedRecord | undefined;
  /** Arrival time, in milliseconds since the Unix epoch. */
  readonly atMs: number;
}

/** Stand-in for a server of the platform: a prefill engine, a decode engine or a plain service. */
export class PlatformServer {
  /** Requests that ran on this server, prefills included. */
  readonly requests: RecordedRequest[] = [];

  /** Number of orders to change the role; orders are accepted but not carried out. */
  orderCount = 0;

  /** Whether the server says in its answers that it is leaving. */
  isLeaving = false;

  private holdCount = 0;

  private constructor(
    readonly id: string,
    readonly stage: PlatformStage,
    private readonly httpServer: Server,
    private readonly drawAnswer: () => UnframedAnswer | undefined,
  ) {}

  /**
   * Starts a server on a free port of the loopback interface.
   *
   * @param id - id of the server
   * @param stage - stage that it runs; undefined for a plain service
   * @param drawAnswer - returns the next answer without length or chunks; undefined for a whole one with them
   * @returns the running server
   */
  static async create(
    id: string,
    stage: PlatformStage,
    drawAnswer: () => UnframedAnswer | undefined = () => undefined,
  ): Promise<PlatformServer> {
    const http = createServer();
    const server = new PlatformServer(id, stage, http, drawAnswer);
    http.on('request', (request, response) => {
      void server.handleRequest(request, response);
    });
    await new Promise<void>((resolve) => {
      http.listen(0, '127.0.0.1', resolve);
    });
    return server;
  }

  /**
   * Builds the directory entry that announces the server.
   *
   * @param state - whether the server accepts new work
   * @returns the entry
   */
  entry(state: 'ready' | 'draining' = 'ready') {
    const { port } = this.httpServer.address() as AddressInfo;
    return {
      service: this.stage === undefined ? 'yard' : 'planner',
      address: `127.0.0.1:${port}`,
      zone: 'sando',
      slots: 4,
      state,
      ...(this.stage ? { stage: this.stage } : {}),
      born: 1,
    };
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.httpServer.close();
    this.httpServer.closeAllConnections();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    for await (const chunk of request as AsyncIterable<Buffer>) void chunk;
    const { headers, url = '' } = request;
    const header = (name: string) => headers[name] as string | undefined;
    if (this.isLeaving) response.setHeader('Server-Leaving', '1');
    const expected = header('target-instance');
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (url === '/hold-take') {
      this.holdCount += 1;
      response.end(JSON.stringify({ hold: `h${this.holdCount}` }));
      return;
    }
    if (url === '/order') {
      this.orderCount += 1;
      response.writeHead(202).end();
      return;
    }
    if (url.startsWith('/hold-drop/') || url.startsWith('/kv-handle/')) {
      response.end();
      return;
    }
    const id = header('attempt-id') ?? '';
    const unframed = header('stage') === 'prefill' ? undefined : this.drawAnswer();
    this.requests.push({
      id,
      stage: header('stage'),
      source: header('kv-source'),
      hold: header('kv-hold'),
      team: header('tenant'),
      key: header('authorization'),
      unframed: unframed && describeUnframed(unframed),
      atMs: Date.now(),
    });
    response.setHeader('Attempt-Id', id);
    if (header('stage') === 'prefill') {
      response.end(JSON.stringify({ kvHandleId: `k${this.requests.length}`, tokens: 10 }));
      return;
    }
    response.setHeader('Server-Seal', `seal.${this.id}.${id}`);
    if (this.stage !== undefined) response.setHeader('Content-Type', 'text/event-stream');
    if (unframed) await sendUnframed(response, unframed);
    else if (this.stage === undefined) response.end('done');
    else this.sendEvents(response);
  }

  private sendEvents(response: ServerResponse): void {
    [1, 2, 3].forEach((event) => response.write(`id: ${event}\ndata: token ${event}\n\n`));
    response.end();
  }
}
