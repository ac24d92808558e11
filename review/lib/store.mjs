/* eslint n/no-sync: "off" */
/* eslint-disable */
// Stand-in of the platform's store: the calls of PROTOCOL.md that the router makes, on one partition a topic.
import { createServer } from 'node:http';

export class Store {
  topics = new Map();
  waiting = new Set();
  calls = [];
  /** Optional hook: (request, url) => true when it has handled the call itself. */
  intercept = undefined;

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, { records: [], newest: new Map() });
    return this.topics.get(name);
  }

  /** Appends a keyed record as the operator or a server would. */
  put(topicName, key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
    return this.append(topicName, content);
  }

  append(topicName, content) {
    const topic = this.topic(topicName);
    const offset = topic.records.length;
    topic.records.push(content);
    if (topicName.startsWith('keyed.')) {
      const key = content.toString('utf8', 1, 1 + content[0]);
      const value = content.subarray(1 + content[0]);
      if (value.length > 0) topic.newest.set(key, { value, offset });
      else topic.newest.delete(key);
    }
    for (const wake of [...this.waiting]) wake();
    return offset;
  }

  putConfiguration(configuration) {
    this.put('keyed.op', 'config', Buffer.from(JSON.stringify(configuration)));
  }

  putServer(id, entry) {
    this.put('keyed.servers', id, entry ? Buffer.from(JSON.stringify(entry)) : Buffer.alloc(0));
  }

  async listen(host = '127.0.0.1') {
    this.server = createServer((request, response) => this.handle(request, response));
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (this.intercept?.(request, response, url)) return;
      const json = (status, body) =>
        response
          .writeHead(status, { 'Content-Type': 'application/json' })
          .end(JSON.stringify(body));
      const name = url.searchParams.get('topic');
      if (url.pathname === '/log-newest') {
        const topic = this.topic(name);
        const items = [...topic.newest].map(([key, { value, offset }]) => ({
          key,
          value: value.toString('base64'),
          offset,
        }));
        json(200, { items, more: false, end: topic.records.length });
      } else if (url.pathname === '/log-read') {
        this.read(url, response);
      } else if (url.pathname === '/log-append') {
        const at = url.searchParams.get('at');
        const topic = this.topic(name);
        if (at !== null && Number(at) !== topic.records.length) {
          json(412, { end: topic.records.length });
          return;
        }
        const bytes = Buffer.concat(chunks);
        let offset = topic.records.length;
        let position = 0;
        const first = offset;
        while (position + 4 <= bytes.length) {
          const length = bytes.readUInt32BE(position);
          this.append(name, bytes.subarray(position + 4, position + 4 + length));
          position += 4 + length;
        }
        json(200, { offset: first, end: topic.records.length });
      } else {
        json(404, {});
      }
    });
  }

  read(url, response) {
    const topic = this.topic(url.searchParams.get('topic'));
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const reply = () => {
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = [head];
      for (const content of topic.records.slice(from)) {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        parts.push(length, content);
      }
      response
        .writeHead(200, { 'Content-Type': 'application/octet-stream' })
        .end(Buffer.concat(parts));
    };
    if (topic.records.length > from || waitMs === 0) {
      reply();
      return;
    }
    const wake = () => {
      if (topic.records.length <= from) return;
      finish();
    };
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
      if (!response.destroyed) reply();
    };
    const timer = setTimeout(finish, waitMs);
    this.waiting.add(wake);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
