import { MODEL } from '../../harness/plans.js';
import { formatRequest, type RawCaller } from './guarantees-raw-caller.js';
import { ORDERS_ROUTE, type OrderWorld } from './guarantees-orders.js';

/** Time limit for receiving a request body in the caller input scenarios, in milliseconds. */
export const BODY_TIMEOUT_MS = 500;

/** Exceeds the header limit of 16 KiB. */
const LARGE_HEADER = 'a'.repeat(20_000);

/** Exceeds the body limit of 1 MiB. */
const LARGE_BODY_BYTES = 1_100_000;

/** Writes one kind of malformed or slow request to a connection. */
type CallerInput = (caller: RawCaller, world: OrderWorld) => void;

/** Malformed and slow requests by their name in the feature file. */
export const CALLER_INPUTS: Readonly<Record<string, CallerInput>> = {
  'oversized headers': createOrderInput({ extra: [`x-large: ${LARGE_HEADER}`] }),
  'announced oversized body': createOrderInput({ extra: [`content-length: ${LARGE_BODY_BYTES}`] }),
  'chunked oversized body': createOrderInput({
    extra: ['transfer-encoding: chunked'],
    body: `${LARGE_BODY_BYTES.toString(16)}\r\n${'a'.repeat(LARGE_BODY_BYTES)}\r\n0\r\n\r\n`,
  }),
  'slow body': createOrderInput({ extra: ['content-length: 10'], body: '{' }),
  'slow headers': (caller) =>
    caller.write(`POST ${ORDERS_ROUTE} HTTP/1.1\r\nhost: daemon\r\nx-slow: `),
  'malformed request line': (caller) => caller.write('PAINT IT\r\n\r\n'),
  'malformed chunk': createOrderInput({
    extra: ['transfer-encoding: chunked'],
    body: 'zz\r\npaint\r\n',
  }),
  'two framings': createOrderInput({ extra: ['content-length: 5', 'transfer-encoding: chunked'] }),
  'wrong method': createOrderInput({ line: `PUT ${ORDERS_ROUTE}` }),
  'dot segments': createOrderInput({ line: `POST /services/yard/jobs/../orders` }),
  'encoded separator': createOrderInput({ line: `POST /services/yard/jobs%2f..%2forders` }),
  'unknown route': createOrderInput({ line: 'POST /services/none' }),
  'no idempotency key': createOrderInput({ idempotencyKey: [] }),
  'malformed idempotency key': createOrderInput({ idempotencyKey: ['idempotency-key: 17'] }),
  'no key': createOrderInput({ authorized: false }),
  'bad JSON': createCompletionInput('{"model":'),
  'unknown model': createCompletionInput(JSON.stringify({ model: 'none', prompt: 'a' })),
  'no prompt': createCompletionInput(JSON.stringify({ model: MODEL })),
  'negative length': createCompletionInput(
    JSON.stringify({ model: MODEL, prompt: 'a', max_tokens: -1 }),
  ),
  'excessive length': createCompletionInput(
    JSON.stringify({ model: MODEL, prompt: 'a', max_tokens: 1e9 }),
  ),
};

interface OrderInputOptions {
  readonly line?: string;
  readonly extra?: readonly string[];
  readonly body?: string;
  readonly idempotencyKey?: readonly string[];
  readonly authorized?: boolean;
}

function createOrderInput(input: OrderInputOptions): CallerInput {
  return (caller, { callerKey, idempotencyKey }) => {
    const { line = `POST ${ORDERS_ROUTE}`, extra = [], body = 'paint', authorized = true } = input;
    const keys = input.idempotencyKey ?? [`idempotency-key: ${idempotencyKey}`];
    const authorization = authorized ? [`authorization: Bearer ${callerKey}`] : [];
    caller.write(formatRequest(line, [...authorization, ...keys, ...extra], body));
  };
}

function createCompletionInput(body: string): CallerInput {
  return (caller, { callerKey }) =>
    caller.write(
      formatRequest('POST /v1/completions', [`authorization: Bearer ${callerKey}`], body),
    );
}
