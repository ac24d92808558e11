/** Signals that a peer sent more bytes than the reader accepts. */
export class BodyTooLarge extends Error {
  private constructor(
    readonly readBytes: number,
    readonly maxBytes: number,
  ) {
    super(`the body has more than ${maxBytes} bytes (${readBytes} read); the connection is closed`);
  }

  /**
   * Creates the error.
   *
   * @param readBytes - bytes read so far
   * @param maxBytes - limit of the reader
   * @returns a new error
   */
  static create(readBytes: number, maxBytes: number): BodyTooLarge {
    return new BodyTooLarge(readBytes, maxBytes);
  }
}

/**
 * Reads a body into memory. A body beyond the limit is not read further, and its connection is closed,
 * because a peer in trouble may send bytes without end.
 *
 * @param body - the body; leaving its iteration early closes the connection
 * @param maxBytes - largest accepted size, in bytes
 * @returns the complete body
 * @throws BodyTooLarge when the body exceeds the limit, or the error of the connection
 */
export async function readLimited(body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes) throw BodyTooLarge.create(size, maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, size);
}
