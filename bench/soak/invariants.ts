import { callService } from '../../harness/caller-client.js';
import type { ConfigurationWatch } from '../../harness/configuration-watch.js';
import {
  countHolds,
  readEffects,
  readEngines,
  type RecordedAttempt,
  type RecordedEffect,
} from '../../harness/engine-record.js';
import type { Fleet } from '../../harness/fleet.js';
import { MODEL } from '../../harness/plans.js';
import { listAttemptTokens } from '../../harness/token-runs.js';
import { computeAnswer } from '../../stand-ins/answer-text.js';
import type { SoakCompletion, SoakJournal } from './journal.js';
import { findOverspending, type Spending } from './spending.js';

/** Result of one invariant. */
export interface InvariantResult {
  readonly invariant: string;
  /** Number of items that were checked. */
  readonly checked: number;
  /** One line for each violation. */
  readonly violations: readonly string[];
}

/** Records of a run, from callers, operators and stand-ins. */
interface Evidence {
  readonly journal: SoakJournal;
  readonly attempts: readonly RecordedAttempt[];
  readonly effects: readonly RecordedEffect[];
}

/** Bound on the time until a withdrawn key is refused, in milliseconds. */
const WITHDRAWAL_BOUND_MS = 4000;

/** A completion within this time of an outage may have been cut off by it, in milliseconds. */
const KILL_MARGIN_MS = 100;

/**
 * Rates (tokens per second) and bursts (tokens) of the teams of the small fleet plan; no preset of the
 * run changes them.
 */
const TEAM_RATES = new Map([
  ['oval-crew', { rate: 20_000, burst: 60_000 }],
  ['school-grounds', { rate: 500, burst: 2000 }],
]);

/**
 * Checks all invariants on the records of the stand-ins and the callers.
 *
 * @param fleet - fleet without faults that has had no traffic for a while
 * @param journal - observations of callers and operators
 * @param watch - history of the configuration that each daemon reported
 * @returns one result per invariant
 */
export async function checkInvariants(
  fleet: Fleet,
  journal: SoakJournal,
  watch: ConfigurationWatch,
): Promise<InvariantResult[]> {
  const engines = await readEngines(fleet);
  const attempts = [...engines.values()].flatMap((engine) => engine.attempts);
  const evidence: Evidence = { journal, attempts, effects: await readEffects(fleet) };
  const holds = await countHolds(fleet);
  return [
    checkOrderEffects(evidence),
    checkNotRunRefusals(evidence),
    checkCompletionTexts(evidence),
    checkCompletionEnds(evidence),
    createResult('no holds remain', engines.size, holds ? [`${holds} holds remain`] : []),
    checkRates(evidence),
    checkWithdrawnKeys(evidence),
    checkVersions(fleet, watch),
    checkPresets(fleet, watch),
    await checkReadiness(fleet),
    createResult('no daemon ends by itself', fleet.daemons.length, journal.crashes),
  ];
}

function createResult(invariant: string, checked: number, violations: readonly string[]) {
  return { invariant, checked, violations };
}

function checkOrderEffects({ effects }: Evidence): InvariantResult {
  const orders = effects.filter(({ path }) => path === '/services/yard/orders');
  const counts = new Map<string, string[]>();
  orders.forEach(({ bodyHash, requestId, atMs }) => {
    counts.set(bodyHash, [...(counts.get(bodyHash) ?? []), `${requestId} at ${atMs}`]);
  });
  const violations = [...counts]
    .filter(([, all]) => all.length > 1)
    .map(([hash, all]) => `order ${hash.slice(0, 8)} took effect as ${all.join(', ')}`);
  return createResult('at most one effect per idempotency key', counts.size, violations);
}

function checkNotRunRefusals({ journal, attempts, effects }: Evidence): InvariantResult {
  const answers = [
    ...journal.answers,
    ...journal.completions.flatMap(({ answer }) => (answer ? [answer] : [])),
  ].filter(({ run }) => run === 'not run');
  const ran = new Set([
    ...effects.map(({ requestId }) => requestId),
    ...attempts.filter(({ phase }) => phase === 'decode').map(({ requestId }) => requestId),
  ]);
  const violations = answers
    .filter(({ requestId }) => ran.has(requestId))
    .map(({ requestId, code }) => `${requestId} was refused with ${code} as not run, but ran`);
  return createResult('a "not run" refusal ran nothing', answers.length, violations);
}

function checkCompletionTexts({ journal }: Evidence): InvariantResult {
  const answered = journal.completions.filter(({ answer }) => answer?.status === 200);
  const violations = answered
    .filter((one) => !hasExpectedText(one))
    .map(
      ({ answer, prompt }) =>
        `${answer?.requestId} for "${prompt.slice(0, 30)}" has a different text`,
    );
  return createResult('answers have the text of their request', answered.length, violations);
}

/** An answer that was cut off must be a prefix of the complete one. */
function hasExpectedText({ answer, prompt, maxTokens }: SoakCompletion): boolean {
  const expected = computeAnswer(MODEL, prompt, maxTokens);
  if (!answer) return true;
  return answer.complete ? answer.text === expected : expected.startsWith(answer.text);
}

function checkCompletionEnds({ journal }: Evidence): InvariantResult {
  const completions = journal.completions.filter(({ cancelled }) => !cancelled);
  const violations = completions
    .filter(({ answer }) => !answer || (!answer.complete && answer.code === undefined))
    .filter((one) => !overlapsOutage(journal, one))
    .map(({ answer, daemon, startedMs, endedMs, error }) => {
      const id = answer?.requestId ?? 'no answer';
      return `${id} at ${daemon} from ${startedMs} to ${endedMs}: ${error || 'ended silently'}`;
    });
  return createResult('no answer ends silently', completions.length, violations);
}

function overlapsOutage(
  { outages }: SoakJournal,
  { daemon, startedMs, endedMs }: SoakCompletion,
): boolean {
  return outages.some(
    (outage) =>
      outage.daemon === daemon &&
      startedMs <= outage.toMs + KILL_MARGIN_MS &&
      endedMs >= outage.fromMs - KILL_MARGIN_MS,
  );
}

function checkRates({ attempts, effects }: Evidence): InvariantResult {
  const violations = [...TEAM_RATES].flatMap(([team, limits]) => {
    const spent = listSpending(team, attempts, effects);
    return findOverspending(spent, limits).map((line) => `${team}: ${line}`);
  });
  const checked = attempts.filter(({ team }) => team !== undefined).length;
  return createResult('tokens ≤ burst + rate × window', checked, violations);
}

function listSpending(
  team: string,
  attempts: readonly RecordedAttempt[],
  effects: readonly RecordedEffect[],
): Spending[] {
  const ofModels = listAttemptTokens(attempts, team).map(({ startedMs, tokens }) => ({
    ...{ atMs: startedMs, tokens },
  }));
  const ofServices = effects
    .filter((one) => one.team === team)
    .map(({ atMs }) => ({ atMs, tokens: 1 }));
  return [...ofModels, ...ofServices];
}

function checkWithdrawnKeys({ journal, effects }: Evidence): InvariantResult {
  const violations = journal.withdrawals.flatMap(({ keyId, atMs }) => {
    const endMs = atMs + WITHDRAWAL_BOUND_MS;
    const late = effects.filter((one) => one.path.endsWith(`-${keyId}`) && one.atMs > endMs);
    const tokens = journal.completions.filter(
      (one) => one.keyId === keyId && one.lastTokenMs > endMs,
    );
    return [
      ...late.map((one) => `${keyId} ran ${one.requestId} ${one.atMs - atMs} ms after`),
      ...tokens.map(
        (one) => `${keyId} got a token ${one.lastTokenMs - atMs} ms after at ${one.daemon}`,
      ),
    ];
  });
  const checked = journal.withdrawals.length;
  return createResult('withdrawn keys run nothing after 4 s', checked, violations);
}

function checkVersions({ daemons }: Fleet, watch: ConfigurationWatch): InvariantResult {
  const last = daemons.map(({ name }) => watch.listObservations(name).at(-1)?.version);
  const differ = new Set(last).size === 1 ? [] : [`the last versions are ${last.join(', ')}`];
  const wentBack = watch.listViolations().filter((line) => line.includes('went back'));
  return createResult('versions equal and never back', countSnapshots(watch, daemons), [
    ...differ,
    ...wentBack,
  ]);
}

function checkPresets({ daemons }: Fleet, watch: ConfigurationWatch): InvariantResult {
  const wrong = watch.listViolations().filter((line) => !line.includes('went back'));
  return createResult('exactly one preset', countSnapshots(watch, daemons), [
    ...wrong,
    ...watch.listDisagreements(),
  ]);
}

async function checkReadiness({ daemons }: Fleet): Promise<InvariantResult> {
  const answers = daemons.map(async ({ name, callers }) => {
    const answer = await callService(callers, { method: 'GET', path: '/readyz' });
    return answer.status === 200 ? [] : [`${name}: ${answer.text}`];
  });
  const violations = (await Promise.all(answers)).flat();
  return createResult('every daemon serves again', daemons.length, violations);
}

function countSnapshots(watch: ConfigurationWatch, daemons: Fleet['daemons']): number {
  return daemons.reduce((sum, { name }) => sum + watch.listObservations(name).length, 0);
}
