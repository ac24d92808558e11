import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface LogRecord {
  readonly key: string;
  readonly value: Buffer;
}

/** Records by topic at some moment. */
export type LogCopy = ReadonlyMap<string, readonly Buffer[]>;

/** Topics of the operator and the servers, which write again what a rollback has lost. */
const OWNED_TOPICS: ReadonlySet<string> = new Set(['keyed.op', 'keyed.servers']);

const GOLDEN_RATIO = 0.618034;

/** Stand-in for the platform's log: keyed single-partition topics, long polling, outages and rollbacks. */
export class PlatformLog {
  private readonly topics = new Map<string, Buffer[]>();

  private readonly waiters = new Set<() => void>();

  private unavailable = false;

  private lostShare = 0;

  private answers = 0;

  /** Number of rollbacks; undefined while the log names no era. */
  private era: number | undefined;

  private constructor(private readonly server: Server) {}

  /**
   * Starts a log on a free port of the loopback interface.
   *
   * @returns the running log
   */
  static async create(): Promise<PlatformLog> {
    const server = createServer();
    const log = new PlatformLog(server);
    server.on('request', (request, response) => {
      void log.handleRequest(request, response);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return log;
  }

  /** `host:port` of the listener. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /**
   * Starts or ends an outage, during which all calls are answered with 503.
   *
   * @param unavailable - whether calls are answered with 503
   */
  setUnavailable(unavailable: boolean): void {
    this.unavailable = unavailable;
    this.notifyWaiters();
  }

  /** Whether an outage is in progress. */
  get isUnavailable(): boolean {
    return this.unavailable;
  }

  /**
   * Loses answers: their calls are carried out, and the connection returns nothing further.
   *
   * @param share - share of the answers that are lost, 0 to 1
   */
  setLostShare(share: number): void {
    this.lostShare = share;
  }

  /**
   * Appends a record to a keyed topic, as the operator and the servers do.
   *
   * @param topic - name of the topic
   * @param key - key of the record
   * @param value - content, encoded as JSON; undefined writes a tombstone that deletes the key
   */
  put(topic: string, key: string, value: unknown): void {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    const name = Buffer.from(key);
    this.recordsOf(topic).push(Buffer.concat([Buffer.from([name.length]), name, bytes]));
    this.notifyWaiters();
  }

  /**
   * Takes a copy of all records, to which the log can be rolled back.
   *
   * @returns the copy
   */
  takeCopy(): LogCopy {
    this.era ??= 0;
    return new Map([...this.topics].map(([topic, records]) => [topic, [...records]]));
  }

  /**
   * Goes back to a copy: what was written since is lost, its offsets are given out again and the era rises.
   *
   * @param copy - a copy taken before
   */
  rollBack(copy: LogCopy): void {
    this.era = (this.era ?? 0) + 1;
    this.topics.clear();
    copy.forEach((records, topic) => this.topics.set(topic, [...records]));
    this.notifyWaiters();
  }

  /**
   * Lists what the operator and the servers have written since a copy was taken.
   *
   * @param copy - a copy taken before
   * @returns a function that writes it again after a rollback, except keys that were written meanwhile
   */
  writesSince(copy: LogCopy): () => void {
    const lost = [...this.topics]
      .filter(([topic]) => OWNED_TOPICS.has(topic))
      .map(([topic, records]) => [topic, records.slice(copy.get(topic)?.length ?? 0)] as const);
    return () => {
      lost.forEach(([topic, records]) => {
        const written = this.recordsOf(topic).slice(copy.get(topic)?.length ?? 0);
        const keys = new Set(written.map((record) => decodeRecord(record).key));
        const missing = records.filter((record) => !keys.has(decodeRecord(record).key));
        this.recordsOf(topic).push(...missing);
      });
      this.notifyWaiters();
    };
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const url = new URL(request.url ?? '/', 'http://log');
    const topic = url.searchParams.get('topic') ?? '';
    this.answers += 1;
    if ((this.answers * GOLDEN_RATIO) % 1 < this.lostShare) response.end = () => response;
    this.writeEra(response);
    if (this.unavailable) response.writeHead(503).end();
    else if (url.pathname === '/log-append')
      this.handleAppend(topic, url, Buffer.concat(chunks), response);
    else if (url.pathname === '/log-read') await this.handleRead(topic, url, response);
    else if (url.pathname === '/log-newest') this.replyNewest(topic, response);
    else response.writeHead(404).end();
  }

  private handleAppend(topic: string, url: URL, body: Buffer, response: ServerResponse): void {
    const records = this.recordsOf(topic);
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== records.length) {
      response.writeHead(412).end(JSON.stringify({ end: records.length }));
      return;
    }
    const offset = records.length;
    for (let start = 0; start < body.length;) {
      const end = start + 4 + body.readUInt32BE(start);
      records.push(body.subarray(start + 4, end));
      start = end;
    }
    this.notifyWaiters();
    response.end(JSON.stringify({ offset, end: records.length }));
  }

  private async handleRead(topic: string, url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const deadlineMs = Date.now() + waitMs;
    while (this.recordsOf(topic).length === from && Date.now() < deadlineMs && !this.unavailable) {
      await this.waitForChange(deadlineMs - Date.now());
    }
    const records = this.recordsOf(topic);
    this.writeEra(response);
    if (from > records.length) {
      response.writeHead(410).end(JSON.stringify({ first: 0 }));
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(records.length));
    const framed = records.slice(from).flatMap((record) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    response.end(Buffer.concat([header, ...framed]));
  }

  private replyNewest(topic: string, response: ServerResponse): void {
    const newest = new Map<string, { key: string; value: string; offset: number }>();
    this.recordsOf(topic).forEach((record, offset) => {
      const { key, value } = decodeRecord(record);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString('base64'), offset });
    });
    const end = this.recordsOf(topic).length;
    response.end(JSON.stringify({ items: [...newest.values()], more: false, end }));
  }

  private writeEra(response: ServerResponse): void {
    if (this.era !== undefined) response.setHeader('Store-Era', this.era);
  }

  private recordsOf(topic: string): Buffer[] {
    const existing = this.topics.get(topic);
    if (existing) return existing;
    const records: Buffer[] = [];
    this.topics.set(topic, records);
    return records;
  }

  private waitForChange(maxWaitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, maxWaitMs);
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      this.waiters.add(done);
    });
  }

  private notifyWaiters(): void {
    [...this.waiters].forEach((done) => done());
  }
}

function decodeRecord(record: Buffer): LogRecord {
  const length = record[0]!;
  return { key: record.toString('utf8', 1, 1 + length), value: record.subarray(1 + length) };
}
