/* eslint n/no-sync: "off" */
/* eslint-disable */
// Stand-in for a server of the platform: a plain service, a prefill or a decode server.
import { spawn } from 'node:child_process';
import { createServer } from 'node:http';
import { fileURLToPath } from 'node:url';

const WIRE = fileURLToPath(new URL('wire.mjs', import.meta.url));

export class PlatformServer {
  /** Requests that reached this server: { id, path, headers, atMs, endMs, end, run }. */
  requests = [];
  orders = [];
  seq = 0;
  fence = 0;
  handles = 0;
  born = Date.now();

  /**
   * `answer(request, response, entry, server)` may answer a run itself and returns true then.
   */
  static async create(store, id, options) {
    const server = new PlatformServer();
    Object.assign(server, { store, id, slots: 6, stage: undefined, zone: 'sando' }, options);
    await server.start(0);
    return server;
  }

  async start(port) {
    this.born = Date.now();
    this.sockets = new Set();
    this.http = createServer({ keepAliveTimeout: 5000 }, (request, response) => {
      this.handle(request, response).catch(() => {});
    });
    this.http.on('connection', (socket) => {
      // A server resets connections beyond its `maxConns`.
      if (this.maxConns && this.sockets.size >= this.maxConns) {
        this.resets = (this.resets ?? 0) + 1;
        socket.resetAndDestroy();
        return;
      }
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.http.listen(port, '127.0.0.1', resolve));
    this.port = this.http.address().port;
    // The process of the wire has the address at which callers meet the server.
    if (this.wired) await this.startWire();
    this.address = `127.0.0.1:${this.wirePort ?? this.port}`;
    this.up = true;
    this.register();
    this.beat = setInterval(() => this.register(), 1200);
  }

  /** Writes the server's entry, as servers do about every `heartbeatMs`. */
  register() {
    this.beats = (this.beats ?? 0) + 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldLeftMs: 0,
      ...(this.stage
        ? { stage: this.stage, models: [{ name: 'm', version: 1, adapters: [] }] }
        : {}),
      seq: this.beats,
      born: this.born,
    });
  }

  /** Ends at once, as a crash does: connections are reset, the entry lapses later or is replaced. */
  crash(backMs) {
    if (!this.up) return;
    this.up = false;
    this.crashes = (this.crashes ?? 0) + 1;
    clearInterval(this.beat);
    this.http.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    setTimeout(() => {
      this.seq = 0;
      this.fence = 0;
      if (!this.ended) void this.start(this.port);
    }, backMs);
  }

  async startWire() {
    const ports = [String(this.wirePort ?? 0), String(this.port)];
    const child = spawn(process.execPath, [WIRE, '127.0.0.1', ...ports], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.wire = child;
    const port = await new Promise((resolve) => child.stdout.once('data', resolve));
    this.wirePort = Number(port);
  }

  /** Falls silent at once, as a machine without power does, and starts again later. */
  goDark(backMs) {
    if (!this.up) return;
    this.up = false;
    this.crashes = (this.crashes ?? 0) + 1;
    clearInterval(this.beat);
    const { wire } = this;
    wire.kill('SIGSTOP');
    const gone = new Promise((resolve) => wire.once('exit', resolve));
    setTimeout(async () => {
      wire.kill('SIGKILL');
      await gone;
      this.http.close();
      for (const socket of this.sockets) socket.destroy();
      this.seq = 0;
      this.fence = 0;
      if (!this.ended) await this.start(this.port);
    }, backMs);
  }

  close() {
    this.ended = true;
    this.wire?.kill('SIGKILL');
    clearInterval(this.beat);
    this.http.close();
    this.http.closeAllConnections();
    for (const socket of this.sockets) socket.destroy();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers, url, method } = request;
    const expected = headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'Instance-Id': this.id,
        'Attempt-Id': headers['attempt-id'] ?? '',
      });
      response.end();
      return;
    }
    if (url === '/report') return reply(response, this.report());
    if (url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    if (url === '/hold-take') {
      // A server without room for so many tokens refuses.
      const { tokens } = JSON.parse(Buffer.concat(chunks));
      if (this.kvTokens && !(typeof tokens === 'number' && tokens <= this.kvTokens))
        return response.writeHead(503).end();
      this.handles += 1;
      return reply(response, { hold: `h${this.handles}` });
    }
    if (url === '/order') return this.order(JSON.parse(Buffer.concat(chunks)), response);
    if (method === 'DELETE') return response.end();
    const id = headers['attempt-id'];
    if (id === undefined) return response.writeHead(400, { 'Not-Run': '1' }).end();
    const entry = { id, path: url, headers, bytes: Buffer.concat(chunks).length, atMs: Date.now() };
    this.requests.push(entry);
    response.on('close', () => Object.assign(entry, { endMs: Date.now() }));
    response.setHeader('Attempt-Id', id);
    if (headers.stage === 'prefill') {
      if (this.prefillMs) await new Promise((resolve) => setTimeout(resolve, this.prefillMs));
      this.handles += 1;
      const tokens = Number((headers['token-count'] ?? '0').split(',')[0]);
      return reply(response, { kvHandleId: `k${this.id}x${this.handles}`, tokens, version: 1 });
    }
    entry.run = true;
    if (this.answer && (await this.answer(request, response, entry, this))) return;
    if (this.stage) await this.stream(response, Number(headers['last-event-id'] ?? 0));
    else {
      await new Promise((resolve) => setTimeout(resolve, 10));
      response.setHeader('Server-Seal', `seal.${this.id}.${id}`);
      response.end(`done ${id}`);
    }
  }

  async stream(response, last) {
    response.setHeader('Server-Seal', `seal.${this.id}`);
    response.setHeader('Weight-Versions', '1');
    response.setHeader('Content-Type', 'text/event-stream');
    for (let event = last + 1; event <= 3; event += 1) {
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    response.end();
  }

  order({ fence, holder, stage }, response) {
    const entry = { fence, holder, stage, atMs: Date.now() };
    this.orders.push(entry);
    response.on('finish', () => Object.assign(entry, { status: response.statusCode }));
    if (fence < this.fence) return response.writeHead(412).end();
    this.fence = fence;
    if (stage === this.stage) return response.writeHead(200).end();
    if (this.busy) return response.writeHead(409).end();
    this.seq += 1;
    if (this.restageMs) {
      this.busy = true;
      setTimeout(() => {
        Object.assign(this, { busy: false, stage });
        if (this.up && !this.ended) this.register();
      }, this.restageMs);
    }
    return response.writeHead(202).end();
  }

  report() {
    const models = [{ name: 'm', version: 1, adapters: [] }];
    const idle = {
      busy: this.busy ?? false,
      seq: this.seq,
      queued: 0,
      running: 0,
      kvUsed: 0,
      kvTotal: 73_378,
    };
    const more = { handles: 0, pinned: 0, held: 0, state: 'ready', next: 0, runs: [] };
    return { stage: this.stage, models, ...idle, ...more, born: this.born };
  }
}

function reply(response, content) {
  response.setHeader('Content-Type', 'application/json');
  response.end(JSON.stringify(content));
}
