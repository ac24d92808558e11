import { request } from 'undici';

/** Fields that all calls of one attempt share. */
export interface AttemptFields {
  readonly requestId: string;
  readonly attemptId: string;
  readonly owner: { readonly vm: string; readonly incarnation: string };
  readonly team?: string;
}

/** A response with a JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Record<string, unknown>;
}

/** The events that were read from a decode stream. */
export interface StreamResult {
  readonly status: number;
  readonly events: readonly Record<string, unknown>[];
  /** Whether the server closed the stream properly. */
  readonly closed: boolean;
}

/**
 * Builds the fields of an attempt.
 *
 * @param attemptId - id of the attempt
 * @returns the fields
 */
export function buildAttempt(attemptId: string): AttemptFields {
  const owner = { vm: 'vm-1', incarnation: 'i1' };
  return { requestId: `request-of-${attemptId}`, attemptId, owner, team: 'team-1' };
}

/**
 * Sends a request with a JSON body.
 *
 * @param method - HTTP method
 * @param url - absolute URL
 * @param body - value to send, if any
 * @returns the answer
 */
export async function callJson(
  method: 'GET' | 'POST',
  url: string,
  body?: unknown,
): Promise<JsonResponse> {
  const text = body === undefined ? undefined : JSON.stringify(body);
  const answer = await request(url, { method, body: text, reset: true });
  const content = (await answer.body.json()) as Record<string, unknown>;
  return { status: answer.statusCode, headers: answer.headers, body: content };
}

/**
 * Counts the holds that an engine lists.
 *
 * @param engine - address of the engine
 * @param query - filter of the holds
 * @returns the number of holds
 */
export async function countHolds({ url }: { readonly url: string }, query = ''): Promise<number> {
  const { body } = await callJson('GET', `${url}/v1/holds?${query}`);
  return (body.holds as unknown[]).length;
}

/**
 * Makes a reservation, a prefill and a transfer, so that the attempt can decode.
 *
 * @param decodeAddress - `host:port` of the decode engine
 * @param prefillAddress - `host:port` of the prefill engine
 * @param attempt - the attempt
 * @param prompt - the prompt, for the model `m`
 * @returns the id of the reservation and the answers of the three calls
 */
export async function prepareDecode(
  decodeAddress: string,
  prefillAddress: string,
  attempt: AttemptFields,
  prompt: string,
): Promise<{ reservationId: string; answers: JsonResponse[] }> {
  const model = 'm';
  const decodeUrl = `http://${decodeAddress}/v1`;
  const reserved = await callJson('POST', `${decodeUrl}/reservations`, {
    ...attempt,
    ...{ model, blocks: 1 },
  });
  const prefilled = await callJson('POST', `http://${prefillAddress}/v1/prefill`, {
    ...attempt,
    ...{ model, prompt, priority: 0 },
  });
  const { reservationId } = reserved.body as { reservationId: string };
  const transferred = await callJson('POST', `${decodeUrl}/transfers`, {
    ...attempt,
    ...{ reservationId, prefillId: prefilled.body.prefillId, source: prefillAddress },
  });
  return { reservationId, answers: [reserved, prefilled, transferred] };
}

/**
 * Decodes until the stream ends, the token limit is reached or no data arrives for too long.
 *
 * @param address - `host:port` of the decode engine
 * @param body - body of the call
 * @param limits - tokens after which the client disconnects, and the maximum time without data in
 *   milliseconds
 * @returns the events that were received
 */
export async function readDecode(
  address: string,
  body: unknown,
  limits: { readonly tokens?: number; readonly silenceMs?: number } = {},
): Promise<StreamResult> {
  const { tokens = Infinity, silenceMs = 1000 } = limits;
  const answer = await request(`http://${address}/v1/decode`, {
    ...{ method: 'POST', body: JSON.stringify(body), reset: true, bodyTimeout: 0 },
  });
  const events: Record<string, unknown>[] = [];
  let rest = '';
  let timer = setTimeout(() => answer.body.destroy(), silenceMs);
  try {
    for await (const chunk of answer.body) {
      clearTimeout(timer);
      timer = setTimeout(() => answer.body.destroy(), silenceMs);
      const parts = (rest + String(chunk)).split('\n\n');
      rest = parts.pop() ?? '';
      parts.forEach((part) => events.push(JSON.parse(part.replace(/^data: /, '')) as never));
      // One chunk may hold several events; the reader may disconnect after any of them.
      events.splice(tokens);
      if (events.length >= tokens) break;
    }
    return { status: answer.statusCode, events, closed: events.length < tokens };
  } catch {
    return { status: answer.statusCode, events, closed: false };
  } finally {
    clearTimeout(timer);
  }
}
