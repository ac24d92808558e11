import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { collectGarbage } from '../../bench/collect-garbage.js';
import type { Refusal } from '../../src/domain/refusal.js';
import { Kernel } from '../../src/kernel/kernel.js';
import type { Service, Services } from '../../src/kernel/service.js';
import { SystemClock } from '../../src/kernel/system-clock.js';
import { JsonDecisions } from '../../src/observability/json-decisions.js';
import { LineWriter } from '../../src/observability/line-writer.js';
import { PrometheusMetrics } from '../../src/observability/prometheus-metrics.js';
import { TrialRequests } from '../../src/fleet/trial-requests.js';
import { Relay } from '../../src/relay/relay.js';
import type { RelayRoute } from '../../src/relay/relay-configuration.js';
import { AnswerSink, type AnswerHead } from '../../src/relay/relay-request.js';
import type { CatalogServer } from '../../src/relay/server-catalog.js';
import { listRetries } from '../support/retry-simulation.js';
import { FAILURE_TEXT, FakeUpstream, type UpstreamStep } from '../support/fake-upstream.js';
import {
  createCatalogServer,
  createLimitSharers,
  createRelayConfiguration,
  createRelayRequest,
  createRelayRoute,
} from '../support/relay-fixtures.js';

class RecordingSink extends AnswerSink {
  status = 0;

  retryAfterMs: number | undefined;

  text = '';

  ending: 'open' | 'whole' | 'cut' = 'open';

  closed = false;

  override refuse({ status, run, retryAfterMs }: Refusal): void {
    this.retryAfterMs = retryAfterMs;
    this.status = status === 503 && run === 'unknown' ? 502 : status;
    this.ending = 'whole';
  }

  override writeHead({ status }: AnswerHead): void {
    this.status = status;
  }

  override write(chunk: Buffer): undefined {
    this.text += chunk.toString();
  }

  override end(): void {
    this.ending = 'whole';
  }

  override abort(): void {
    this.ending = 'cut';
  }
}

interface RunWorld {
  relay: Relay;
  decisions: JsonDecisions;
  upstream: FakeUpstream;
  sink: RecordingSink;
  /** Sinks of all requests so far. */
  sinks: RecordingSink[];
  engines: boolean;
  tookMs: number;
  /** Number of requests that arrived at once. */
  count: number;
}

const scenario = world as unknown as RunWorld;

const ENGINE = {
  slots: 4,
  kvTokens: 70_000,
  reservationMs: 2000,
  prefillLifeMs: 500,
  roleChangeMs: 6000,
};

const GARBAGE_COLLECTION_INTERVAL_MS = 100;

const MONOTONIC = SystemClock.create();

/** Deadline of the callers in these tests, in milliseconds. */
const DEADLINE_MS = 5000;

const RATES = {
  retries: { ratio: 0.2, slack: 50, windowMs: 10_000 },
  rateTolerance: { part: 0, tokens: 0, windowMs: 8000 },
};

function build(steps: string, servers: readonly CatalogServer[]): void {
  const kernel = Kernel.create();
  const clock = SystemClock.create();
  const writer = LineWriter.create((chunk, done) => done(null, chunk.length));
  const upstream = FakeUpstream.create(steps.split(', ') as UpstreamStep[]);
  const contact = { size: 1, reachable: 1, reportedMs: 0 };
  const queuesElsewhere = { waiting: 0, punctual: 0, startsPerSecond: 0 };
  const limitSharers = createLimitSharers(['test']);
  const borrow = () => Promise.resolve(false);
  const trials = TrialRequests.create({ vm: 'test', peers: () => [] }, 'first', clock, () => {});
  const acquireTrial = (group: string) => trials.acquire(group);
  const alone = { size: 1, peers: [], contact, queuesElsewhere, limitSharers };
  const known = { ...alone, borrow, acquireTrial };
  const fleet = known as unknown as Services['fleet'] & Service;
  const relay = Relay.create(kernel, { availabilityZone: 'sando', ...RATES }, clock);
  kernel.register('upstream', upstream);
  const decisions = JsonDecisions.create(writer, 'test', clock);
  kernel.register('decisions', decisions);
  kernel.register('metrics', PrometheusMetrics.create());
  kernel.register('fleet', fleet);
  relay.catalog.replace(servers, 0);
  Object.assign(scenario, {
    relay,
    decisions,
    upstream,
    sinks: [],
    engines: servers.some(({ stage }) => stage),
  });
}

function chooseRoute(kind: string, attempts: number): RelayRoute {
  if (kind === 'resumable') {
    return createRelayRoute({ kind: 'stream', resumable: true, attempts, patienceMs: 500 });
  }
  if (kind === 'patiently resumable') {
    return createRelayRoute({ kind: 'stream', resumable: true, attempts });
  }
  return createRelayRoute({ kind: kind as RelayRoute['kind'], attempts });
}

async function serve(
  kind: string,
  attempts: number,
  ageMs: number,
  disconnected: AbortSignal,
  requestId = 'r',
) {
  const { relay, engines } = scenario;
  const pool = { name: 'pool', mostConnections: 0, engine: engines ? ENGINE : undefined };
  const route = { ...chooseRoute(kind, attempts), timeoutMs: 6000 };
  relay.configure(createRelayConfiguration({ routes: [route], pools: [pool] }));
  const sink = new RecordingSink();
  scenario.sink = sink;
  scenario.sinks.push(sink);
  const nowMs = SystemClock.create().monotonicMs();
  const tokens = engines ? { promptTokens: 100, outputTokens: 50 } : {};
  const times = { arrivedMs: nowMs - ageMs, deadlineAtMs: nowMs - ageMs + DEADLINE_MS };
  const request = createRelayRequest({ requestId, ...tokens, ...times });
  await relay.serve(request, sink, disconnected);
  scenario.tookMs = SystemClock.create().monotonicMs() - nowMs;
}

Given('a relay with {int} plain server(s) that do {string}', (count: number, steps: string) => {
  const servers = Array.from({ length: count }, (_, index) =>
    createCatalogServer({ id: `s${index}` }),
  );
  build(steps, servers);
});

Given(
  'a relay with {int} prefill engine(s) and {int} decode engines that do {string}',
  (prefill: number, decode: number, steps: string) => {
    const servers = Array.from({ length: prefill + decode }, (_, index) =>
      createCatalogServer({ id: `e${index}`, stage: index < prefill ? 'prefill' : 'decode' }),
    );
    build(steps, servers);
  },
);

// Optimized code keeps fewer objects alive than code that has run once.
Given(
  'the relay has served {int} requests of kind {string} with {int} attempts',
  { timeout: 60_000 },
  async (count: number, kind: string, attempts: number) => {
    scenario.upstream.answerFirst(count);
    for (let index = 0; index < count; index += 1)
      await serve(kind, attempts, 0, new AbortController().signal);
  },
);

When(
  'a relay request of kind {string} with {int} attempt(s) arrives',
  async (kind: string, attempts: number) => {
    await serve(kind, attempts, 0, new AbortController().signal);
  },
);

Then(
  'the relay reports for its servers {float} light answers and {float} refusals',
  (answers: number, refusals: number) => {
    const reports = scenario.relay.capacities.reports(MONOTONIC.monotonicMs());
    const sum = (position: 3 | 7) =>
      Math.round(reports.reduce((total, report) => total + report[position], 0));
    assert.deepEqual([sum(3), sum(7)], [answers, refusals]);
  },
);

When(
  '{int} relay requests of kind {string} with {int} attempts arrive at once',
  async (count: number, kind: string, attempts: number) => {
    const { signal } = new AbortController();
    scenario.count = count;
    await Promise.all(
      Array.from({ length: count }, (_, index) => serve(kind, attempts, 0, signal, `r${index}`)),
    );
  },
);

When(
  'a relay request of kind {string} with {int} attempts arrives that is {int} ms old',
  async (kind: string, attempts: number, ageMs: number) => {
    await serve(kind, attempts, ageMs, new AbortController().signal);
  },
);

When(
  'a relay request of kind {string} with {int} attempts arrives that is {int} ms old, with garbage collections until it ends',
  async (kind: string, attempts: number, ageMs: number) => {
    const timer = setInterval(collectGarbage, GARBAGE_COLLECTION_INTERVAL_MS);
    await serve(kind, attempts, ageMs, new AbortController().signal);
    clearInterval(timer);
  },
);

When(
  /^the relay's (.*) servers? (?:has|have) named a limit of (\S+) requests a second$/,
  (ids: string, perSecond: string) => {
    const { catalog } = scenario.relay;
    const servers = ids === 'all' ? catalog.all : ids.split(', ').map((id) => catalog.find(id)!);
    const notice = { leaving: false, requestsPerSecond: Number(perSecond) };
    servers.forEach((server) => scenario.relay.recordNotice(server, notice));
  },
);

When('the relay stops in {int} ms', (ms: number) => {
  const nowMs = SystemClock.create().monotonicMs();
  scenario.relay.beginStop({ acceptAllUntilMs: nowMs, endMs: nowMs + ms });
});

When(
  'a relay request of kind {string} with {int} attempts arrives and the relay ends all requests after {int} ms',
  async (kind: string, attempts: number, afterMs: number) => {
    setTimeout(() => scenario.relay.endRequests(), afterMs);
    await serve(kind, attempts, 0, new AbortController().signal);
  },
);

When(
  'a relay request of kind {string} with {int} attempts arrives and its caller disconnects after {int} ms',
  async (kind: string, attempts: number, afterMs: number) => {
    const disconnected = new AbortController();
    setTimeout(() => disconnected.abort(), afterMs);
    await serve(kind, attempts, 0, disconnected.signal);
    scenario.tookMs -= afterMs;
  },
);

Then(
  'the relay sends it {int} times and the caller gets {int}',
  (sends: number, status: number) => {
    assert.equal(scenario.upstream.sends.length, sends);
    assert.equal(scenario.sink.status, status);
  },
);

Then("the relay's caller gets {int}", (status: number) => {
  assert.equal(scenario.sink.status, status);
});

Then(
  /^the relay's caller has the events "(.*)" and the answer is (whole|cut)$/,
  (events: string, end: string) => {
    const ids = [...scenario.sink.text.matchAll(/id: (\d+)/g)].map(([, id]) => id);
    assert.equal(ids.join(','), events);
    assert.equal(scenario.sink.ending, end);
  },
);

Then('the second send uses no connection that was open at the first', () => {
  const [first, second] = scenario.upstream.sends;
  assert.equal(second!.server, first!.server);
  const afterMs = second!.options.connectedAfterMs!;
  assert.ok(afterMs >= first!.atMs, `connections opened after ${afterMs}, sent at ${first!.atMs}`);
});

Then(
  "the last decision about the relay's request names {int} bytes of a body with a marked end",
  async (bytes: number) => {
    const entries = await scenario.decisions.explain('r');
    const { step, facts } = entries.at(-1)!;
    assert.deepEqual([step, facts.bytes, facts.framed], ['end', bytes, true]);
  },
);

Then("the relay's caller has no text of an error", () => {
  assert.ok(!scenario.sink.text.includes(FAILURE_TEXT), scenario.sink.text);
});

Then(
  'the relay has ended the send within {int} ms and released its reservation and its prefill result',
  (mostMs: number) => {
    assert.ok(scenario.tookMs <= mostMs, `${scenario.tookMs} ms`);
    assert.deepEqual(scenario.upstream.released, ['h1']);
    assert.deepEqual(scenario.upstream.discarded, ['k1']);
  },
);

Then("the relay's servers see at most {int} retries, and all are charged", (most: number) => {
  const { upstream, relay } = scenario;
  const retries = listRetries(upstream.arrivals).length;
  assert.ok(retries > 0 && retries <= most, `${retries} retries`);
  assert.equal(relay.retryBudgets.totals.pool![1], retries);
});

Then('the retry budget of the relay is unused', () => {
  assert.ok(scenario.upstream.sends.length > scenario.count);
  assert.deepEqual(scenario.relay.retryBudgets.totals, { pool: [scenario.count, 0] });
});

Then("each of the relay's {int} callers gets {int}", (count: number, status: number) => {
  assert.deepEqual(
    scenario.sinks.map((sink) => sink.status),
    Array.from({ length: count }, () => status),
  );
});

Then(
  'no server of the relay gets more than {int} sends and {int} prompts',
  (mostSends: number, mostPrompts: number) => {
    const { upstream, relay } = scenario;
    const counts = relay.catalog.all.map(
      ({ id }) => upstream.sends.filter(({ server }) => server === id).length,
    );
    assert.ok(upstream.sends.length > 0);
    assert.ok(Math.max(...counts) <= mostSends, `${counts.join(', ')} sends`);
    assert.ok(upstream.prefills <= mostPrompts, `${upstream.prefills} prompts`);
  },
);

Then(
  'the relay refuses the others of {int} callers within {int} ms, to retry after at most {int} ms',
  (count: number, withinMs: number, retryMs: number) => {
    const { sinks, upstream, tookMs } = scenario;
    const refused = sinks.filter(({ status }) => status === 503);
    assert.equal(sinks.length, count);
    assert.equal(refused.length, count - upstream.sends.length);
    assert.ok(tookMs <= withinMs, `${tookMs} ms`);
    refused.forEach(({ retryAfterMs }) => {
      assert.ok(retryAfterMs! > 0 && retryAfterMs! <= retryMs, `${retryAfterMs} ms`);
    });
  },
);

Then("the relay's server {string} gets at most {int} sends", (id: string, most: number) => {
  const sends = scenario.upstream.sends.filter(({ server }) => server === id).length;
  assert.ok(sends <= most, `${sends} sends`);
});

Then(
  "the relay's limits still let {int} more request through to {string}",
  (requests: number, id: string) => {
    const { limits, catalog } = scenario.relay;
    const waitMs = limits.estimateWaitMs([catalog.find(id)!], requests, MONOTONIC.monotonicMs());
    assert.equal(waitMs, 0);
  },
);

/** What may happen to a server after it has named a limit. */
const LIMIT_CHANGES: Readonly<Record<string, (relay: Relay, server: CatalogServer) => void>> = {
  'answers without a limit': (relay, server) =>
    relay.recordNotice(server, { leaving: false, requestsPerSecond: undefined }),
  'has been started again': ({ catalog }, server) =>
    catalog.replace([{ ...server, startedAtMs: server.startedAtMs + 1 }], 0),
  'answered another VM without a limit later': ({ limits }, { id, startedAtMs }) =>
    limits.recordReported([[id, startedAtMs, -1, 0]], MONOTONIC.monotonicMs() + 1),
  'answered another VM without a limit before': ({ limits }, { id, startedAtMs }) =>
    limits.recordReported([[id, startedAtMs, -1, 5000]], MONOTONIC.monotonicMs()),
  'answered another VM with a limit before': ({ limits }, { id, startedAtMs }) =>
    limits.recordReported([[id, startedAtMs, 9, 5000]], MONOTONIC.monotonicMs()),
};

When(
  new RegExp(`^the relay's s0 server (${Object.keys(LIMIT_CHANGES).join('|')})$`),
  (change: string) => {
    const { relay } = scenario;
    LIMIT_CHANGES[change]!(relay, relay.catalog.find('s0')!);
  },
);

Then(/^the relay's server "(.*)" (is|is not) limited$/, (id: string, limited: string) => {
  const { limits, catalog } = scenario.relay;
  const perSecond = limits.perSecondOf(catalog.find(id)!, MONOTONIC.monotonicMs());
  assert.equal(perSecond, limited === 'is' ? 0 : undefined);
});

Then('the relay took between {int} and {int} ms', (least: number, most: number) => {
  const { tookMs } = scenario;
  assert.ok(tookMs >= least && tookMs <= most, `${tookMs} ms`);
});

Then('every relay send has at most {int} ms left', (mostMs: number) => {
  scenario.upstream.sends.forEach(({ options }) => {
    assert.ok(options.deadlineMs <= mostMs, `${options.deadlineMs} ms`);
  });
});

Then('the relay has left no answer of a server open', () => {
  assert.equal(scenario.upstream.openAnswers, 0);
});

Given(
  /^the relay's reserved engine (leaves|loses its entry) while a prompt is read, which takes (\d+) ms$/,
  (change: string, ms: string) => {
    const { relay, upstream } = scenario;
    upstream.prefillMs = Number(ms);
    upstream.duringPrefill = () => {
      if (upstream.prefills > 1) return;
      const id = upstream.reserved[0]!;
      if (change === 'leaves') relay.catalog.recordLeaving(id, relay.catalog.find(id)!.startedAtMs);
      else relay.catalog.apply({ id, server: undefined }, MONOTONIC.monotonicMs());
    };
  },
);

Then(/^the relay's first reserved slot is (used|given up)$/, (use: string) => {
  const { reserved, sends, released } = scenario.upstream;
  assert.equal(sends[0]!.server === reserved[0], use === 'used');
  assert.deepEqual(released, use === 'used' ? [] : ['h1']);
});
