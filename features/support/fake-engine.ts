import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { createEngineServer } from '../../harness/model-fixtures.js';
import type { EngineServer } from '../../src/domain/backend-server.js';

/** A fault of one call; it applies to the first call whose path matches and is then removed. */
export interface EngineFault {
  readonly path: string;
  readonly kind: string;
}

export interface EngineCallRecord {
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly attemptId: string;
  readonly socket: Socket;
}

const LOAD = '20,256,0,1,0,run1';

/** A minimal engine for tests of its clients. The engines of a scenario share their faults. */
export class FakeEngine {
  readonly calls: EngineCallRecord[] = [];

  readonly holds = new Set<string>();

  connections = 0;

  load = LOAD;

  private constructor(
    readonly name: string,
    private readonly faults: EngineFault[],
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async create(name: string, faults: EngineFault[] = []): Promise<FakeEngine> {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const engine = new FakeEngine(name, faults, server, (server.address() as AddressInfo).port);
    server.on('connection', () => {
      engine.connections += 1;
    });
    server.on('request', (request, response) => {
      void engine.answer(request, response);
    });
    return engine;
  }

  describe(): EngineServer {
    return createEngineServer(this.name, { address: { host: '127.0.0.1', port: this.port } });
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const url = request.url ?? '';
    const attemptId = /attempts\/([^/]+)/.exec(url)?.[1] ?? String(body.attemptId);
    const { headers, socket } = request;
    this.calls.push({ path: url, headers, attemptId, socket });
    response.setHeader('x-engine-load', this.load);
    const fault = this.takeFault(url);
    if (fault === 'crash') {
      this.holds.clear();
      await this.stop();
      return;
    }
    if (breakAnswer(response, fault)) return;
    if (fault === 'late-effect') {
      await new Promise((resolve) => {
        setTimeout(resolve, 60);
      });
    }
    this.updateHolds(url, attemptId);
    if (breakAnswerAfterEffect(response, fault)) return;
    if (url === '/v1/decode') this.stream(response, body, fault);
    else response.end(JSON.stringify(this.reply(url, attemptId, fault)));
  }

  private takeFault(url: string): string | undefined {
    const index = this.faults.findIndex((fault) => url.includes(fault.path));
    return index < 0 ? undefined : this.faults.splice(index, 1)[0]?.kind;
  }

  private updateHolds(url: string, attemptId: string): void {
    if (url === '/v1/reservations') this.holds.add(attemptId);
    if (url.endsWith('/cancel')) this.holds.delete(attemptId);
  }

  private reply(url: string, attemptId: string, fault: string | undefined): unknown {
    if (url === '/v1/reservations') return { reservationId: `r-${attemptId}`, expiresInMs: 5000 };
    if (url === '/v1/load') return parseLoad(this.load);
    if (url.startsWith('/v1/holds')) return { incarnation: 'run1', holds: [] };
    if (url.startsWith('/v1/cache-events')) return { events: [], last: 0 };
    const id = fault === 'crossed' ? 'another' : attemptId;
    if (url === '/v1/transfers') {
      return { attemptId: id, reservationId: `r-${attemptId}`, bytes: 1, elapsedMs: 1 };
    }
    const sizes = { promptTokens: 10, cachedTokens: 0, kvBytes: 10, expiresInMs: 500 };
    return { attemptId: id, prefillId: `p-${attemptId}`, ...sizes };
  }

  private stream(
    response: ServerResponse,
    body: Readonly<Record<string, unknown>>,
    fault: string | undefined,
  ): void {
    const attemptId = String(body.attemptId);
    const from = Number(body.fromIndex);
    const write = (event: object) => response.write(`data: ${JSON.stringify(event)}\n\n`);
    response.setHeader('content-type', 'text/event-stream');
    response.flushHeaders();
    for (let index = from; index < 4; index += 1) {
      if (index === 2 && fault === 'gap') continue;
      if (index === 2 && fault === 'cut') {
        // Flushes the tokens first, so that the client receives them before the reset.
        setTimeout(() => response.destroy(), 20);
        return;
      }
      if (index === 2 && (fault === 'stall' || fault === 'no-end')) {
        if (fault === 'no-end') response.end();
        return;
      }
      if (index === 2 && fault === 'late') write({ attemptId: 'old', index, text: 'wrong' });
      if (index === 2 && fault === 'crossed') write({ attemptId: 'another', end: 'stop' });
      write({ attemptId, index, text: `t${index} ` });
      if (fault === 'duplicate') write({ attemptId, index, text: `t${index} ` });
    }
    write({ attemptId, end: 'stop', promptTokens: 10, completionTokens: 4 });
    this.holds.delete(attemptId);
    response.end();
  }
}

function breakAnswer(response: ServerResponse, fault: string | undefined): boolean {
  if (fault === 'silent') return true;
  if (fault === 'reset') response.destroy();
  else if (fault === 'busy') response.writeHead(429).end('{}');
  else if (fault === 'expired') response.writeHead(409).end('{}');
  else if (fault === 'rejected') response.writeHead(500).end('{}');
  else return false;
  return true;
}

function breakAnswerAfterEffect(response: ServerResponse, fault: string | undefined): boolean {
  if (fault === 'lost') response.destroy();
  else if (fault === 'headers-only') response.flushHeaders();
  else if (fault === 'half-body') {
    response.writeHead(200, { 'content-length': '100' }).write('{"attemptId"');
    setTimeout(() => response.destroy(), 10);
  } else return false;
  return true;
}

function parseLoad(header: string): unknown {
  const [slots, blocks, queued, level, draining, incarnation] = header.split(',');
  return {
    slotsFree: Number(slots),
    blocksFree: Number(blocks),
    queuedPrefillTokens: Number(queued),
    level: Number(level),
    draining: draining === '1',
    incarnation,
  };
}

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text ? (JSON.parse(text) as Record<string, unknown>) : {};
}
