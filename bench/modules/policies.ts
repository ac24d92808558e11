/** What decides between servers. */
export type ChoiceKind = 'present' | 'random' | 'round-robin' | 'least-reported' | 'prefix';

/** A policy to compare. */
export interface Policy {
  readonly name: string;
  readonly choice: ChoiceKind;
  /** False: own dispatches since the last report are not counted. */
  readonly countsOwnDispatches: boolean;
  /** False: the decode slot is reserved after the prefill. */
  readonly reservesBeforePrefill: boolean;
  /** False: decode engines are chosen by slots only. */
  readonly countsBlocks: boolean;
  /** False: cached prefixes are not considered. */
  readonly usesPrefixAffinity: boolean;
  /** False: each VM serves requests in the order of arrival. */
  readonly hasFairQueueing: boolean;
  /** False: requests wait up to 10 s and late ones run. */
  readonly refusesEarly: boolean;
  /** True: loads are known as levels 0 to 4 only. */
  readonly seesLevelsOnly: boolean;
  /** False: loads are polled once a second and answers carry none. */
  readonly seesLoadsInAnswers: boolean;
  /** Fields of the preset that differ from the ordinary one. */
  readonly preset: Readonly<Record<string, number>>;
}

const CURRENT_POLICY: Policy = {
  name: 'present',
  choice: 'present',
  countsOwnDispatches: true,
  reservesBeforePrefill: true,
  countsBlocks: true,
  usesPrefixAffinity: true,
  hasFairQueueing: true,
  refusesEarly: true,
  seesLevelsOnly: false,
  seesLoadsInAnswers: true,
  preset: {},
};

const VARIANTS: readonly (Partial<Policy> & Pick<Policy, 'name'>)[] = [
  { name: 'random', choice: 'random' },
  { name: 'round robin', choice: 'round-robin' },
  { name: 'least by lagging report', choice: 'least-reported', countsOwnDispatches: false },
  { name: 'prefix affinity alone', choice: 'prefix' },
  { name: 'without own-dispatch correction', countsOwnDispatches: false },
  { name: 'without reservation before prefill', reservesBeforePrefill: false },
  { name: 'without memory by blocks', countsBlocks: false },
  { name: 'without prefix affinity', usesPrefixAffinity: false },
  { name: 'affinity over any load', preset: { affinityTokens: 1_000_000 } },
  { name: 'without fair queueing', hasFairQueueing: false },
  { name: 'without early refusal', refusesEarly: false },
  { name: 'levels 0 to 4', seesLevelsOnly: true },
  { name: 'polling only', seesLoadsInAnswers: false },
  { name: 'levels, polling only', seesLevelsOnly: true, seesLoadsInAnswers: false },
  { name: 'queue 330 ms', preset: { queueMs: 330 } },
  { name: 'queue 200 ms', preset: { queueMs: 200 } },
  { name: 'reserve 4', preset: { reservedSlots: 4 } },
  { name: 'reserve 8', preset: { reservedSlots: 8 } },
  { name: 'queue 200 ms, reserve 4', preset: { queueMs: 200, reservedSlots: 4 } },
  { name: 'queue 5 s', preset: { queueMs: 5000 } },
  { name: 'queue 5 s, reserve 4', preset: { queueMs: 5000, reservedSlots: 4 } },
  { name: 'queue 5 s, reserve 8', preset: { queueMs: 5000, reservedSlots: 8 } },
];

/** The present policy first, then what it is compared with. */
export const POLICIES: readonly Policy[] = [
  CURRENT_POLICY,
  ...VARIANTS.map((variant) => ({ ...CURRENT_POLICY, ...variant })),
];
