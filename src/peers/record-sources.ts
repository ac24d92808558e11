import { Code, ConnectError } from '@connectrpc/connect';

import { Service } from '../kernel/service.js';
import type { Kernel } from '../kernel/kernel.js';
import type { LogRecord } from '../infrastructure/log-service.js';

/**
 * Records and state of a log stream, which peers may read here when the log does not supply them.
 */
export interface RecordSource {
  /** Reads recent applied records from an offset, at most `limit` of them. */
  records(from: number, limit: number): readonly LogRecord[];
  /**
   * Returns the state after the last applied record; undefined until the stream has been read to its
   * end once.
   */
  snapshot(): { readonly offset: number; readonly stateJson: string } | undefined;
}

/** Maximum number of records in one response, so that it stays below the size limit of a message. */
const MAX_RECORDS = 100;

/**
 * Serves `FetchRecords` and `FetchSnapshot` from the module that applies the records of the stream.
 */
export class RecordSources extends Service {
  private readonly sources = new Map<string, RecordSource>();

  private constructor(private readonly kernel: Kernel) {
    super();
  }

  /**
   * Creates a registry; the stream `configuration` is served by the service of that name.
   *
   * @param kernel - locates the peers and configuration services
   * @returns a new registry
   */
  static create(kernel: Kernel): RecordSources {
    return new RecordSources(kernel);
  }

  /**
   * Registers the source of a stream; a later source replaces an earlier one.
   *
   * @param stream - name of the stream
   * @param source - supplies its records and snapshot
   */
  add(stream: string, source: RecordSource): void {
    this.sources.set(stream, source);
  }

  override async start(): Promise<void> {
    this.kernel.find('peers').handle({
      fetchRecords: (request) => {
        const limit = Math.min(request.limit, MAX_RECORDS);
        const records = this.find(request.stream).records(Number(request.fromOffset), limit);
        return {
          records: records.map((record) => ({
            offset: BigInt(record.offset),
            timestampMs: BigInt(Math.trunc(record.timestampMs)),
            data: record.data,
          })),
        };
      },
      fetchSnapshot: (request) => {
        const snapshot = this.find(request.stream).snapshot();
        if (!snapshot) return { available: false };
        const { offset, stateJson } = snapshot;
        return { available: true, offset: BigInt(offset), stateJson };
      },
    });
  }

  private find(stream: string): RecordSource {
    const source = this.sources.get(stream);
    if (source) return source;
    if (stream === 'configuration') return this.kernel.find('configuration');
    throw new ConnectError(`stream ${stream} is not served`, Code.NotFound);
  }
}

declare module '../kernel/service.js' {
  interface Services {
    'record-sources': RecordSources;
  }
}
