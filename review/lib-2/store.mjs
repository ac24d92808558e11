/* eslint n/no-sync: "off" */
/* eslint-disable */
// Stand-in for the platform's store: topics of the log, keyed topics, conditional appends, long polls.
import { createServer } from 'node:http';

const OWN = new Set(['keyed.op', 'keyed.servers']);

export class Store {
  topics = new Map();
  waiters = new Set();

  static async create() {
    const store = new Store();
    store.server = createServer((request, response) => void store.handle(request, response));
    await new Promise((resolve) => store.server.listen(0, '127.0.0.1', resolve));
    store.address = `127.0.0.1:${store.server.address().port}`;
    return store;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the operator and the servers write; undefined drops the key. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.recordsOf(topic).push(Buffer.concat([Buffer.from([name.length]), name, bytes]));
    this.wake();
  }

  recordsOf(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  wake() {
    for (const done of [...this.waiters]) done();
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const topic = `${query.get('topic')}${query.get('part') === '0' ? '' : `/${query.get('part')}`}`;
    if (url.pathname === '/log-append' && request.method === 'POST') {
      this.append(topic, query, Buffer.concat(chunks), response);
    } else if (url.pathname === '/log-read') await this.read(topic, query, response);
    else if (url.pathname === '/log-newest') this.newest(topic, query, response);
    else json(response, 404, {});
  }

  append(topic, query, body, response) {
    if (OWN.has(topic)) return json(response, 403, {});
    const records = this.recordsOf(topic);
    const at = query.get('at');
    if (at !== null && Number(at) !== records.length) {
      return json(response, 412, { end: records.length });
    }
    const offset = records.length;
    for (let start = 0; start < body.length;) {
      const end = start + 4 + body.readUInt32BE(start);
      records.push(body.subarray(start + 4, end));
      start = end;
    }
    this.wake();
    return json(response, 200, { offset, end: records.length });
  }

  async read(topic, query, response) {
    const from = Number(query.get('from'));
    const until = Date.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    const records = this.recordsOf(topic);
    while (records.length === from && Date.now() < until && !response.destroyed) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, until - Date.now());
        this.waiters.add(done);
      });
    }
    if (from > records.length) return json(response, 410, { first: 0 });
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(records.length));
    const framed = records.slice(from).flatMap((record) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    response.end(Buffer.concat([header, ...framed]));
  }

  newest(topic, query, response) {
    const newest = new Map();
    const records = this.recordsOf(topic);
    records.forEach((record, offset) => {
      const key = record.toString('utf8', 1, 1 + record[0]);
      const value = record.subarray(1 + record[0]);
      newest.delete(key);
      if (value.length > 0) newest.set(key, { key, value: value.toString('base64'), offset });
    });
    json(response, 200, { items: [...newest.values()], more: false, end: records.length });
  }
}

function json(response, status, content) {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(content));
}
