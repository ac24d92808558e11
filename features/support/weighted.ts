import fc from 'fast-check';

/** Generates the keys of a record with frequencies proportional to their weights. */
export function weighted<Key extends string>(weights: Readonly<Record<Key, number>>) {
  return fc.oneof(
    ...Object.entries<number>(weights).map(([key, weight]) => ({
      weight,
      arbitrary: fc.constant(key as Key),
    })),
  );
}
