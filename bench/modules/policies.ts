/** Rule that chooses between servers. */
export type ChoiceKind = 'present' | 'random' | 'round-robin' | 'least-reported' | 'prefix';

/** A policy of the comparison. */
export interface Policy {
  readonly name: string;
  readonly choice: ChoiceKind;
  /** False: own dispatches since the last load report are not counted. */
  readonly countsOwnDispatches: boolean;
  /** False: the decode slot is reserved after the prefill. */
  readonly reservesBeforePrefill: boolean;
  /** False: decode engines are chosen by free slots only. */
  readonly countsBlocks: boolean;
  /** False: cached prefixes are not considered. */
  readonly usesPrefixAffinity: boolean;
  /** False: each VM admits requests one after another, in the order of arrival. */
  readonly hasFairQueueing: boolean;
  /** False: requests wait up to 10 s and run even when they are late. */
  readonly refusesEarly: boolean;
  /** True: loads are known only as levels 0 to 4. */
  readonly seesLevelsOnly: boolean;
  /** False: loads are polled once a second, and answers carry no load. */
  readonly seesLoadsInAnswers: boolean;
  /** Preset fields that differ from the ordinary preset. */
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

/** The policy `present` first, then the variants that it is compared with. */
export const POLICIES: readonly Policy[] = [
  CURRENT_POLICY,
  ...VARIANTS.map((variant) => ({ ...CURRENT_POLICY, ...variant })),
];
