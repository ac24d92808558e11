import { MODEL } from '../../harness/plans.js';
import { writeRequest, type RawCaller } from './guarantees-raw-caller.js';
import { ORDERS, type OrderWorld } from './guarantees-orders.js';

/** Longest time for a body in the scenarios on caller input, in milliseconds. */
export const BODY_MS = 500;

/** Larger than the limit of 16 KiB for headers. */
const LARGE_HEADER = 'a'.repeat(20_000);

/** Larger than the limit of 1 MiB for bodies. */
const LARGE_BODY_BYTES = 1_100_000;

/** Writes one kind of malformed or slow input. */
type CallerInput = (caller: RawCaller, world: OrderWorld) => void;

/** Malformed and slow inputs by the name in the feature. */
export const CALLER_INPUTS: Readonly<Record<string, CallerInput>> = {
  'oversized headers': order({ extra: [`x-large: ${LARGE_HEADER}`] }),
  'announced oversized body': order({ extra: [`content-length: ${LARGE_BODY_BYTES}`] }),
  'chunked oversized body': order({
    extra: ['transfer-encoding: chunked'],
    body: `${LARGE_BODY_BYTES.toString(16)}\r\n${'a'.repeat(LARGE_BODY_BYTES)}\r\n0\r\n\r\n`,
  }),
  'slow body': order({ extra: ['content-length: 10'], body: '{' }),
  'slow headers': (caller) => caller.write(`POST ${ORDERS} HTTP/1.1\r\nhost: daemon\r\nx-slow: `),
  'malformed request line': (caller) => caller.write('PAINT IT\r\n\r\n'),
  'malformed chunk': order({ extra: ['transfer-encoding: chunked'], body: 'zz\r\npaint\r\n' }),
  'two framings': order({ extra: ['content-length: 5', 'transfer-encoding: chunked'] }),
  'wrong method': order({ line: `PUT ${ORDERS}` }),
  'dot segments': order({ line: `POST /services/yard/jobs/../orders` }),
  'encoded separator': order({ line: `POST /services/yard/jobs%2f..%2forders` }),
  'unknown route': order({ line: 'POST /services/none' }),
  'no idempotency key': order({ idempotencyKey: [] }),
  'malformed idempotency key': order({ idempotencyKey: ['idempotency-key: 17'] }),
  'no key': order({ authorized: false }),
  'bad JSON': completion('{"model":'),
  'unknown model': completion(JSON.stringify({ model: 'none', prompt: 'a' })),
  'no prompt': completion(JSON.stringify({ model: MODEL })),
  'negative length': completion(JSON.stringify({ model: MODEL, prompt: 'a', max_tokens: -1 })),
  'excessive length': completion(JSON.stringify({ model: MODEL, prompt: 'a', max_tokens: 1e9 })),
};

interface OrderInput {
  readonly line?: string;
  readonly extra?: readonly string[];
  readonly body?: string;
  readonly idempotencyKey?: readonly string[];
  readonly authorized?: boolean;
}

function order(input: OrderInput): CallerInput {
  return (caller, { callerKey, idempotencyKey }) => {
    const { line = `POST ${ORDERS}`, extra = [], body = 'paint', authorized = true } = input;
    const keys = input.idempotencyKey ?? [`idempotency-key: ${idempotencyKey}`];
    const authorization = authorized ? [`authorization: Bearer ${callerKey}`] : [];
    caller.write(writeRequest(line, [...authorization, ...keys, ...extra], body));
  };
}

function completion(body: string): CallerInput {
  return (caller, { callerKey }) =>
    caller.write(
      writeRequest('POST /v1/completions', [`authorization: Bearer ${callerKey}`], body),
    );
}
