import { callCompletion, callService, type CallerAnswer } from '../harness/caller-client.js';
import { runCtl } from '../harness/ctl.js';
import { countHolds, readEffects, readEngines } from '../harness/engine-record.js';
import type { Fleet, FleetDaemon } from '../harness/fleet.js';
import { createIdempotencyKey } from '../harness/idempotency-key.js';
import { MODEL } from '../harness/plans.js';
import { waitFor } from '../harness/wait-for.js';

/** Keys that the demo creates before its first step, one for each team. */
export interface DemoKeys {
  readonly crew: { readonly keyId: string; readonly text: string };
  readonly school: { readonly keyId: string; readonly text: string };
}

/** Outcome of a step: what was observed, and whether it matches the expectation. */
export interface StepResult {
  readonly passed: boolean;
  readonly observed: string;
}

/** A step of the demo, which shows one kind of request. */
export interface DemoStep {
  readonly name: string;
  readonly expected: string;
  readonly run: (fleet: Fleet, keys: DemoKeys) => Promise<StepResult>;
}

const ORDERS_PATH = '/services/yard/orders';

const PLAN_PROMPT = 'survey of the outfield '.repeat(20);
const PLAN_OUTPUT_TOKENS = 20;

/** Tokens charged for one plan; the engine counts one token per 4 bytes of prompt. */
const PLAN_TOKENS = Math.ceil(PLAN_PROMPT.length / 4) + PLAN_OUTPUT_TOKENS;

/** Bound on the time until the memory of a cancelled request is released, in milliseconds. */
const RELEASE_BOUND_MS = 10_000;

/** Bound on the time until a withdrawn key is refused, in milliseconds. */
const WITHDRAWAL_BOUND_MS = 4000;

/** Added to the measured time, in seconds, since the first request is sent before the clock is read. */
const CLOCK_MARGIN_S = 0.05;

/** Steps of the demo, in order. */
export const DEMO_STEPS: readonly DemoStep[] = [
  {
    name: 'streamed plan through prefill, transfer and decode',
    expected: '20 tokens and the end marker; one prefill and one decode engine took part',
    run: async (fleet, { crew }) => {
      const answer = await requestPlan(fleet, 0, crew.text, { stream: true });
      const engines = await findEngines(fleet, answer.requestId);
      return {
        passed: answer.complete && answer.tokens === 20 && engines.length === 2,
        observed: `${answer.tokens} tokens, whole: ${answer.complete}, engines: ${engines.join(', ')}`,
      };
    },
  },
  {
    name: 'unstreamed plan through another daemon',
    expected: 'status 200 and the whole text',
    run: async (fleet, { crew }) => {
      const answer = await requestPlan(fleet, 1, crew.text, { stream: false });
      const words = answer.text.split(' ').filter(Boolean).length;
      return {
        passed: answer.status === 200 && words === 20,
        observed: `status ${answer.status}, ${words} words`,
      };
    },
  },
  {
    name: 'idempotent lookup of a job',
    expected: 'status 200',
    run: async (fleet, { crew }) => {
      const path = '/services/yard/jobs/17';
      const answer = await callService(daemonAt(fleet, 0).callers, {
        method: 'GET',
        path,
        key: crew.text,
      });
      return { passed: answer.status === 200, observed: `status ${answer.status}` };
    },
  },
  {
    name: 'paint order sent twice with one idempotency key through two daemons',
    expected: 'one effect; the second answer is the stored one',
    run: async (fleet, { crew }) => {
      const idempotencyKey = createIdempotencyKey();
      const send = (index: number) => sendOrder(fleet, index, crew.text, idempotencyKey);
      const answers = await Promise.all([send(0), send(1)]);
      const effects = (await readEffects(fleet)).filter(({ path }) => path === ORDERS_PATH);
      const replayed = answers.filter(({ headers }) => headers['x-cuminspar-replayed'] === 'true');
      const equal = answers[0].text === answers[1].text;
      return {
        passed: effects.length === 1 && replayed.length === 1 && equal,
        observed: `${effects.length} effect, ${replayed.length} replayed, equal: ${equal}`,
      };
    },
  },
  {
    name: 'open route without a key',
    expected: 'status 200',
    run: async (fleet) => {
      const call = { method: 'GET' as const, path: '/services/yard/status' };
      const answer = await callService(daemonAt(fleet, 2).callers, call);
      return { passed: answer.status === 200, observed: `status ${answer.status}` };
    },
  },
  {
    name: 'wrong key',
    expected: '401 key_unknown, not run',
    run: async (fleet, { crew }) => {
      const answer = await requestPlan(fleet, 0, `${crew.text.slice(0, -4)}0000`, { stream: true });
      return {
        passed: answer.status === 401 && answer.code === 'key_unknown' && answer.run === 'not run',
        observed: describeRefusal(answer),
      };
    },
  },
  {
    name: 'key withdrawn by cuminsparctl',
    expected: `401 key_withdrawn at every daemon within ${WITHDRAWAL_BOUND_MS} ms`,
    run: async (fleet) => {
      const key = await fleet.giveKey('oval-crew');
      await waitFor('the new key to work at every daemon', async () => {
        const answers = await lookupAtAllDaemons(fleet, key.text);
        return answers.every(({ status }) => status === 200);
      });
      const startMs = performance.now();
      const run = await runCtl(daemonAt(fleet, 0).operators, ['key', 'withdraw', key.keyId]);
      if (run.code !== 0) return { passed: false, observed: run.stderr || run.stdout };
      await waitFor('the withdrawn key to be refused at every daemon', async () => {
        const answers = await lookupAtAllDaemons(fleet, key.text);
        return answers.every(({ code }) => code === 'key_withdrawn');
      });
      const elapsedMs = Math.round(performance.now() - startMs);
      return {
        passed: elapsedMs < WITHDRAWAL_BOUND_MS,
        observed: `refused by all ${fleet.daemons.length} daemons after ${elapsedMs} ms`,
      };
    },
  },
  {
    name: 'team over its rate, through all daemons at once',
    expected: 'some 429 rate_exceeded, not run; tokens run stay within burst + rate x time',
    run: async (fleet, { school }) => {
      const startMs = performance.now();
      const calls = Array.from({ length: 30 }, (_, index) =>
        requestPlan(fleet, index % 3, school.text, { stream: true }),
      );
      const answers = await Promise.all(calls);
      const elapsedS = (performance.now() - startMs) / 1000 + CLOCK_MARGIN_S;
      const refused = answers.filter(({ code }) => code === 'rate_exceeded');
      const ran = answers.filter(({ complete }) => complete).length * PLAN_TOKENS;
      const bound = Math.floor(2000 + 500 * elapsedS);
      return {
        passed: refused.length > 0 && ran <= bound && refused.every(({ run }) => run === 'not run'),
        observed: `${refused.length} of 30 refused, ${ran} tokens run, bound ${bound}`,
      };
    },
  },
  {
    name: 'caller cancels in mid-stream',
    expected: `no engine holds anything within ${RELEASE_BOUND_MS} ms`,
    run: async (fleet, { crew }) => {
      const abort = new AbortController();
      const onToken = (count: number) => count >= 5 && abort.abort();
      const call = { model: MODEL, prompt: 'cancel me', maxTokens: 500, key: crew.text };
      await callCompletion(daemonAt(fleet, 0).callers, {
        ...call,
        ...{ stream: true, signal: abort.signal, onToken },
      }).catch(() => undefined);
      const startMs = performance.now();
      await waitFor('no holds', async () => (await countHolds(fleet)) === 0, {
        timeoutMs: RELEASE_BOUND_MS,
      });
      return { passed: true, observed: `free after ${Math.round(performance.now() - startMs)} ms` };
    },
  },
  {
    name: 'cuminsparctl explain, asked at another daemon',
    expected: 'the admission and the choice of both engines',
    run: async (fleet, { crew }) => {
      const answer = await requestPlan(fleet, 0, crew.text, { stream: true });
      const run = await runCtl(daemonAt(fleet, 1).operators, ['explain', answer.requestId]);
      const steps = ['admission', 'decode-server', 'prefill-server'];
      const missingSteps = steps.filter((step) => !run.stdout.includes(step));
      console.log(run.stdout.trimEnd().replaceAll(/^/gm, '        '));
      return {
        passed: run.code === 0 && missingSteps.length === 0,
        observed:
          missingSteps.length === 0
            ? `${steps.join(', ')} shown`
            : `missing: ${missingSteps.join(', ')}`,
      };
    },
  },
];

function daemonAt(fleet: Fleet, index: number): FleetDaemon {
  const daemon = fleet.daemons[index];
  if (!daemon) throw new Error(`the fleet has no daemon ${index}`);
  return daemon;
}

function requestPlan(
  fleet: Fleet,
  index: number,
  key: string,
  { stream }: { stream: boolean },
): Promise<CallerAnswer> {
  const call = { model: MODEL, prompt: PLAN_PROMPT, maxTokens: PLAN_OUTPUT_TOKENS };
  return callCompletion(daemonAt(fleet, index).callers, { ...call, key, stream });
}

function lookupAtAllDaemons(fleet: Fleet, key: string): Promise<CallerAnswer[]> {
  const path = '/services/yard/jobs/1';
  const ask = ({ callers }: FleetDaemon) => callService(callers, { method: 'GET', path, key });
  return Promise.all(fleet.daemons.map(ask));
}

function sendOrder(
  fleet: Fleet,
  index: number,
  key: string,
  idempotencyKey: string,
): Promise<CallerAnswer> {
  const body = JSON.stringify({ drums: 3, paint: 'white' });
  const call = { method: 'POST' as const, path: ORDERS_PATH, body, key, idempotencyKey };
  return callService(daemonAt(fleet, index).callers, call);
}

async function findEngines(fleet: Fleet, requestId: string): Promise<string[]> {
  const engines = await readEngines(fleet);
  return [...engines]
    .filter(([, { attempts }]) => attempts.some((attempt) => attempt.requestId === requestId))
    .map(([name]) => name);
}

function describeRefusal(answer: CallerAnswer): string {
  return `${answer.status} ${answer.code}, ${answer.run}`;
}
