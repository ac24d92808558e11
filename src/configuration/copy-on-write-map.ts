/** Mean number of entries per bucket above which the number of buckets is doubled. */
const MAX_LOAD_FACTOR = 32;

/** Largest prime below 2^32; multiplied by 31 it is still a safe integer. */
const HASH_MODULUS = 4_294_967_291;

/**
 * Hash map with copy-on-write buckets: copies share the buckets that neither of them has modified,
 * so that a copy with one modification costs a list of buckets and one bucket instead of the whole
 * content. Iteration follows insertion order within a bucket; a map of up to 32 entries has a
 * single bucket.
 */
export class CopyOnWriteMap<Value> implements ReadonlyMap<string, Value> {
  /** Indexes of the buckets that are not shared with another map. */
  private readonly ownedBuckets = new Set<number>();

  private constructor(
    private buckets: Map<string, Value>[],
    private count: number,
  ) {}

  /**
   * Creates a map.
   *
   * @param entries - initial content
   * @returns a new map
   */
  static create<Value>(entries: Iterable<readonly [string, Value]> = []): CopyOnWriteMap<Value> {
    const map = new CopyOnWriteMap<Value>([new Map()], 0);
    for (const [key, value] of entries) map.set(key, value);
    map.markShared();
    return map;
  }

  /** Number of entries. */
  get size(): number {
    return this.count;
  }

  /**
   * Copies the map. Afterwards each of the two maps copies a bucket before it first
   * modifies it.
   *
   * @returns a map with the same content
   */
  copy(): CopyOnWriteMap<Value> {
    this.markShared();
    return new CopyOnWriteMap([...this.buckets], this.count);
  }

  /** Marks every bucket as shared, so that the next modification of a bucket copies it first. */
  markShared(): void {
    this.ownedBuckets.clear();
  }

  /**
   * Sets the value of a key.
   *
   * @param key - the key
   * @param value - its new value
   */
  set(key: string, value: Value): void {
    const bucket = this.writableBucket(key);
    const sizeBefore = bucket.size;
    bucket.set(key, value);
    this.count += bucket.size - sizeBefore;
    if (this.count > this.buckets.length * MAX_LOAD_FACTOR) this.grow();
  }

  /**
   * Removes a key.
   *
   * @param key - the key
   * @returns false when the key was not there
   */
  delete(key: string): boolean {
    if (!this.has(key)) return false;
    this.count -= 1;
    return this.writableBucket(key).delete(key);
  }

  get(key: string): Value | undefined {
    return this.buckets[this.bucketIndex(key)]?.get(key);
  }

  has(key: string): boolean {
    return this.buckets[this.bucketIndex(key)]?.has(key) ?? false;
  }

  forEach(visit: (value: Value, key: string, map: ReadonlyMap<string, Value>) => void): void {
    for (const [key, value] of this) visit(value, key, this);
  }

  *entries(): Generator<[string, Value], undefined> {
    for (const bucket of this.buckets) yield* bucket;
    return undefined;
  }

  *keys(): Generator<string, undefined> {
    for (const bucket of this.buckets) yield* bucket.keys();
    return undefined;
  }

  *values(): Generator<Value, undefined> {
    for (const bucket of this.buckets) yield* bucket.values();
    return undefined;
  }

  [Symbol.iterator](): Generator<[string, Value], undefined> {
    return this.entries();
  }

  private bucketIndex(key: string): number {
    if (this.buckets.length === 1) return 0;
    let hash = 0;
    for (let index = 0; index < key.length; index += 1) {
      hash = (hash * 31 + key.charCodeAt(index)) % HASH_MODULUS;
    }
    return hash % this.buckets.length;
  }

  private writableBucket(key: string): Map<string, Value> {
    const index = this.bucketIndex(key);
    const current = this.buckets[index] ?? new Map<string, Value>();
    if (this.ownedBuckets.has(index)) return current;
    const copy = new Map(current);
    this.ownedBuckets.add(index);
    this.buckets[index] = copy;
    return copy;
  }

  private grow(): void {
    const entries = [...this];
    this.buckets = Array.from({ length: this.buckets.length * 2 }, () => new Map());
    this.buckets.forEach((_, index) => this.ownedBuckets.add(index));
    entries.forEach(([key, value]) => this.buckets[this.bucketIndex(key)]?.set(key, value));
  }
}
