/** Where a relay ends a connection. */
export interface CutRule {
  /** Text in the first line of the request that is cut, for example `POST /v1/decode`. */
  readonly request: string;
  /** Bytes of the body that pass to the target; the answer is cut when this is absent. */
  readonly bodyBytes?: number;
  /** Bytes of the answer, with its head, that pass to the client. */
  readonly answerBytes?: number;
  /** Text of the answer before which it is cut. */
  readonly answerText?: string;
  /** Number of requests that are cut. */
  readonly count: number;
}

/** What passes of a piece, and whether the connection ends after it. */
export interface InspectedChunk {
  readonly forwarded: Buffer;
  readonly cut: boolean;
}

const HEADERS_END = '\r\n\r\n';

/** Finds the place of a rule in the bytes of one connection. */
export class CutTracker {
  private requestData = '';

  private answerData = '';

  private constructor(private readonly consumeRule: (requestData: string) => CutRule | undefined) {}

  private rule: CutRule | undefined;

  /**
   * Creates a tracker for one connection.
   *
   * @param takeRule - finds the rule for the head of a request, and counts it
   * @returns a new tracker
   */
  static create(takeRule: (head: string) => CutRule | undefined): CutTracker {
    return new CutTracker(takeRule);
  }

  /**
   * Looks at bytes on their way to the target.
   *
   * @param bytes - the next bytes; one request is on its way at a time
   * @returns what passes
   */
  inspectRequest(bytes: Buffer): InspectedChunk {
    if (this.answerData !== '')
      Object.assign(this, { requestData: '', answerData: '', rule: undefined });
    const before = this.requestData.length;
    this.requestData += bytes.toString('latin1');
    this.rule ??= this.consumeRule(this.requestData);
    const head = this.requestData.indexOf(HEADERS_END);
    const { bodyBytes } = this.rule ?? {};
    if (bodyBytes === undefined || head < 0) return { forwarded: bytes, cut: false };
    return cutAfter(bytes, head + HEADERS_END.length + bodyBytes - before);
  }

  /**
   * Looks at bytes on their way to the client.
   *
   * @param bytes - the next bytes
   * @returns what passes
   */
  inspectAnswer(bytes: Buffer): InspectedChunk {
    const before = this.answerData.length;
    this.answerData += bytes.toString('latin1');
    const { answerBytes, answerText } = this.rule ?? {};
    if (answerBytes !== undefined) return cutAfter(bytes, answerBytes - before);
    const found = answerText === undefined ? -1 : this.answerData.indexOf(answerText);
    return found < 0 ? { forwarded: bytes, cut: false } : cutAfter(bytes, found - before);
  }
}

function cutAfter(bytes: Buffer, length: number): InspectedChunk {
  const forwarded = bytes.subarray(0, Math.max(0, length));
  return { forwarded, cut: bytes.length >= length };
}
