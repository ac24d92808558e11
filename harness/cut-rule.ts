/** Selects the requests and the position at which a relay closes the connection. */
export interface CutRule {
  /** Text that the data of a matching request contains, for example `POST /v1/decode`. */
  readonly request: string;
  /** Bytes of the body that are forwarded to the target; without it the answer is cut. */
  readonly bodyBytes?: number;
  /** Bytes of the answer, headers included, that are forwarded to the client. */
  readonly answerBytes?: number;
  /** Text of the answer before which the connection is closed. */
  readonly answerText?: string;
  /** Number of requests to which the rule applies. */
  readonly count: number;
}

/** Part of a chunk to forward, and whether the connection is closed after it. */
export interface InspectedChunk {
  readonly forwarded: Buffer;
  readonly cut: boolean;
}

const HEADERS_END = '\r\n\r\n';

/** Finds the position at which a rule cuts the bytes of one connection. */
export class CutTracker {
  private requestData = '';

  private answerData = '';

  private constructor(private readonly consumeRule: (requestData: string) => CutRule | undefined) {}

  private rule: CutRule | undefined;

  /**
   * Creates a tracker for one connection.
   *
   * @param consumeRule - returns the rule that matches the data of a request, and uses it up once
   * @returns a new tracker
   */
  static create(consumeRule: (head: string) => CutRule | undefined): CutTracker {
    return new CutTracker(consumeRule);
  }

  /**
   * Inspects bytes that are sent to the target.
   *
   * @param bytes - the next bytes; requests on one connection do not overlap
   * @returns what to forward
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
   * Inspects bytes that are sent to the client.
   *
   * @param bytes - the next bytes
   * @returns what to forward
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
