/* eslint n/no-sync: "off", max-classes-per-file: "off" */
/* eslint-disable */
// Stand-ins of the platform's servers: they read whole requests and answer as PROTOCOL.md says.
import { createServer } from 'node:net';

/**
 * A server of a plain service. `behave` gets each request and may take it over by returning true; the
 * server then sends nothing by itself.
 */
export class PlainServer {
  arrivals = [];
  sockets = new Set();
  running = 0;

  constructor(id, { service = 'yard', slots = 6, workMs = 43, answerBytes = 800 } = {}) {
    Object.assign(this, { id, service, slots, workMs, answerBytes, born: Date.now() });
  }

  async listen(host = '127.0.0.1', port = 0) {
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** What the server writes about itself in the store. */
  entry(state = 'ready') {
    const { service, address, slots, born } = this;
    return {
      service,
      address,
      zone: 'sando',
      version: 1,
      slots,
      state,
      coldLeftMs: 0,
      seq: 1,
      born,
    };
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.setMaxListeners(0);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    let buffered = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      buffered = Buffer.concat([buffered, chunk]);
      for (;;) {
        const end = buffered.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = buffered.toString('latin1', 0, end);
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
        if (buffered.length < end + 4 + length) return;
        const body = buffered.subarray(end + 4, end + 4 + length);
        buffered = buffered.subarray(end + 4 + length);
        this.receive(socket, head, body);
      }
    });
  }

  receive(socket, head, body) {
    const [method, path] = head.split(' ');
    const header = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1];
    const request = {
      id: header('attempt-id'),
      method,
      path,
      body,
      header,
      socket,
      server: this.id,
      atMs: performance.now(),
    };
    this.arrivals.push(request);
    if (this.refuses?.(request)) return;
    const target = header('target-instance');
    if (target !== undefined && target !== this.id) {
      socket.write(
        this.head(request, '421 Misdirected Request', ['Not-Run: 1', 'Content-Length: 0']),
      );
      return;
    }
    request.ran = true;
    if (this.behave?.(request)) return;
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      this.answer(request);
    }, this.workMs);
  }

  answer(request, extra = this.extraHeaders ?? []) {
    const { socket, id } = request;
    if (socket.destroyed) return;
    const body = Buffer.alloc(this.answerBytes, 'x');
    const lines = [`Server-Seal: ${this.id}.${id}`, ...extra, `Content-Length: ${body.length}`];
    socket.write(Buffer.concat([Buffer.from(this.head(request, '200 OK', lines)), body]));
    request.answeredMs = performance.now();
  }

  head({ id }, status, lines) {
    return `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${lines.join('\r\n')}\r\n\r\n`;
  }

  /** Ends the server at once, as a process that exits does. */
  close() {
    this.server?.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

/** A model server of stage `decode`: reservations, and streams with an event every `gapMs`. */
export class EngineServer extends PlainServer {
  holds = 0;

  constructor(id, { service = 'planner', slots = 48, events = 70, gapMs = 20 } = {}) {
    super(id, { service, slots });
    Object.assign(this, { events, gapMs });
    this.behave = (request) => this.serve(request);
  }

  entry(state = 'ready') {
    return {
      ...super.entry(state),
      stage: 'decode',
      models: [{ name: 'm', version: 1, adapters: [] }],
    };
  }

  serve(request) {
    const { method, path } = request;
    if (path === '/hold-take') {
      this.holds += 1;
      this.control(request, { hold: `h${this.holds}` });
    } else if (method === 'DELETE') this.control(request, {});
    else this.stream(request);
    return true;
  }

  control({ socket }, content) {
    const body = JSON.stringify(content);
    const type = 'Content-Type: application/json';
    socket.write(`HTTP/1.1 200 OK\r\n${type}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  }

  stream(request) {
    const { socket, id } = request;
    const lines = [
      `Server-Seal: ${this.id}.${id}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(this.head(request, '200 OK', lines));
    request.sentEvents = 0;
    socket.once('close', () => {
      request.leftMs ??= performance.now();
    });
    const after = Number(request.header('last-event-id') ?? 0);
    const next = () => {
      if (socket.destroyed) return;
      request.sentEvents += 1;
      const number = after + request.sentEvents;
      const event = `id: ${number}\ndata: ${'t'.repeat(20)}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      if (number >= this.events) {
        socket.write('0\r\n\r\n');
        request.answeredMs = performance.now();
        return;
      }
      setTimeout(next, this.gapAfter?.(request, number) ?? this.gapMs);
    };
    setTimeout(next, this.gapMs);
  }
}

/** Lists what was sent, answered and run, for the record of a case. */
export function listTraffic(answers, servers, startMs) {
  const at = (ms) => (ms === undefined ? '-' : `${Math.round(ms - startMs)} ms`);
  const sent = [...answers].sort((left, right) => left.sentMs - right.sentMs);
  const runs = servers.flatMap(({ arrivals }) => arrivals).filter(({ id }) => id !== undefined);
  return [
    '',
    'sent and answered: id, path, sent, took, status or how the connection ended, complete',
    ...sent.map(({ id, path, sentMs, tookMs, status, how, complete }) => {
      const end = complete ? status : `${status ?? 'no status'}, ${how}`;
      return `${id} ${path} ${at(sentMs)} ${Math.round(tookMs)} ms ${end} ${complete ? 'complete' : 'incomplete'}`;
    }),
    '',
    'run: id, path, server, arrived, ran',
    ...runs
      .sort((left, right) => left.atMs - right.atMs)
      .map(
        ({ id, path, server, atMs, ran }) =>
          `${id} ${path} ${server} ${at(atMs)} ${ran ? 'ran' : 'not run'}`,
      ),
  ];
}
