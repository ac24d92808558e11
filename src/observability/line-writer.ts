import { write } from 'node:fs';

/** Bytes of lines that may wait for a slow reader. */
const MAX_BUFFERED_BYTES = 262_144;

/** Pause before a write is tried again that the reader had no room for, in milliseconds. */
const RETRY_DELAY_MS = 20;

/** Writes a chunk without waiting; calls back with the bytes that were taken. */
export type WriteChunk = (
  chunk: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Writes lines to a file descriptor without ever waiting for its reader; what does not fit is dropped. */
export class LineWriter {
  private buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private writing = false;

  private droppedLines = 0;

  private constructor(private readonly writeChunk: WriteChunk) {}

  /**
   * Creates a writer to standard output.
   *
   * @param writeChunk - how a chunk is written; the default uses a thread, because a write to a pipe
   * by `process.stdout` waits for the reader
   * @returns a new writer
   */
  static create(
    writeChunk: WriteChunk = (chunk, done) => write(1, chunk, 0, chunk.length, null, done),
  ): LineWriter {
    return new LineWriter(writeChunk);
  }

  /** Lines that were dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /**
   * Writes a line, or drops it when too much is waiting.
   *
   * @param line - text with its line end
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
      // Nobody reads any more; there is no other place to say so.
      this.bufferedBytes -= chunk.length;
      this.droppedLines += 1;
      this.flush();
      return;
    }
    const taken = error ? 0 : written;
    this.bufferedBytes -= taken;
    if (taken < chunk.length) this.buffered.unshift(chunk.subarray(taken));
    if (error) setTimeout(() => this.flush(), RETRY_DELAY_MS);
    else this.flush();
  }
}
