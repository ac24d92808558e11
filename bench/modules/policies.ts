/** What decides between servers. */
export type ChoiceKind = 'present' | 'random' | 'round-robin' | 'least-reported' | 'prefix';

/** A policy to compare. */
export interface Policy {
  readonly name: string;
  readonly choice: ChoiceKind;
  /** False: own dispatches since the last report are not counted. */
  readonly corrects: boolean;
  /** False: the decode slot is reserved after the prefill. */
  readonly reservesFirst: boolean;
  /** False: decode engines are chosen by slots only. */
  readonly countsBlocks: boolean;
  /** False: cached prefixes are not considered. */
  readonly followsPrefixes: boolean;
  /** False: each VM serves requests in the order of arrival. */
  readonly isFair: boolean;
  /** False: requests wait up to 10 s and late ones run. */
  readonly refusesEarly: boolean;
  /** True: loads are known as levels 0 to 4 only. */
  readonly coarse: boolean;
  /** False: loads are polled once a second and answers carry none. */
  readonly carried: boolean;
  /** Fields of the preset that differ from the ordinary one. */
  readonly preset: Readonly<Record<string, number>>;
}

const PRESENT: Policy = {
  name: 'present',
  choice: 'present',
  corrects: true,
  reservesFirst: true,
  countsBlocks: true,
  followsPrefixes: true,
  isFair: true,
  refusesEarly: true,
  coarse: false,
  carried: true,
  preset: {},
};

const VARIANTS: readonly (Partial<Policy> & Pick<Policy, 'name'>)[] = [
  { name: 'random', choice: 'random' },
  { name: 'round robin', choice: 'round-robin' },
  { name: 'least by lagging report', choice: 'least-reported', corrects: false },
  { name: 'prefix affinity alone', choice: 'prefix' },
  { name: 'without own-dispatch correction', corrects: false },
  { name: 'without reservation before prefill', reservesFirst: false },
  { name: 'without memory by blocks', countsBlocks: false },
  { name: 'without prefix affinity', followsPrefixes: false },
  { name: 'affinity over any load', preset: { affinityTokens: 1_000_000 } },
  { name: 'without fair queueing', isFair: false },
  { name: 'without early refusal', refusesEarly: false },
  { name: 'levels 0 to 4', coarse: true },
  { name: 'polling only', carried: false },
  { name: 'levels, polling only', coarse: true, carried: false },
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
  PRESENT,
  ...VARIANTS.map((variant) => ({ ...PRESENT, ...variant })),
];
