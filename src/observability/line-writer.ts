import { write } from 'node:fs';

/** Maximum bytes buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 262_144;

/** Delay before a write that failed with EAGAIN (full pipe) is retried, in milliseconds. */
const RETRY_DELAY_MS = 20;

/** Writes a chunk without blocking; calls back with the number of bytes written. */
export type WriteChunk = (
  chunk: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Writes lines to a file descriptor without blocking on its reader; drops lines when the buffer is full. */
export class LineWriter {
  private buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private writing = false;

  private droppedLines = 0;

  private constructor(private readonly writeChunk: WriteChunk) {}

  /**
   * Creates a writer to standard output.
   *
   * @param writeChunk - how a chunk is written; the default uses the thread pool, because
   * `process.stdout` blocks on the reader when it is a pipe
   * @returns a new writer
   */
  static create(
    writeChunk: WriteChunk = (chunk, done) => write(1, chunk, 0, chunk.length, null, done),
  ): LineWriter {
    return new LineWriter(writeChunk);
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /**
   * Writes a line, or drops it when the buffer is full.
   *
   * @param line - text including the line terminator
   */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.bufferedBytes + bytes.length > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.buffered.push(bytes);
    this.bufferedBytes += bytes.length;
    if (!this.writing) this.flush();
  }

  private flush(): void {
    const chunk = Buffer.concat(this.buffered);
    this.buffered = [];
    if (chunk.length === 0) {
      this.writing = false;
      return;
    }
    this.writing = true;
    this.writeChunk(chunk, (error, written) => this.onWritten(chunk, error, written));
  }

  private onWritten(chunk: Buffer, error: NodeJS.ErrnoException | null, written: number): void {
    if (error && error.code !== 'EAGAIN') {
      // The reader is gone, and there is no other output to report it on.
      this.bufferedBytes -= chunk.length;
      this.droppedLines += 1;
      this.flush();
      return;
    }
    const writtenBytes = error ? 0 : written;
    this.bufferedBytes -= writtenBytes;
    if (writtenBytes < chunk.length) this.buffered.unshift(chunk.subarray(writtenBytes));
    if (error) setTimeout(() => this.flush(), RETRY_DELAY_MS);
    else this.flush();
  }
}
