/** A binary heap that can also remove or reorder any of its items in O(log n). */
export class IndexedHeap<Item> {
  private readonly items: Item[] = [];

  private readonly indexes = new Map<Item, number>();

  private constructor(private readonly precedes: (left: Item, right: Item) => boolean) {}

  /**
   * Creates an empty heap.
   *
   * @param precedes - returns true when the left item comes out before the right one
   * @returns a new heap
   */
  static create<Item>(precedes: (left: Item, right: Item) => boolean): IndexedHeap<Item> {
    return new IndexedHeap<Item>(precedes);
  }

  /** Number of items. */
  get size(): number {
    return this.items.length;
  }

  /**
   * Returns the first item without removing it.
   *
   * @returns the item, or undefined when the heap is empty
   */
  peek(): Item | undefined {
    return this.items[0];
  }

  /**
   * Returns whether an item is in the heap.
   *
   * @param item - the item
   * @returns true when it is
   */
  has(item: Item): boolean {
    return this.indexes.has(item);
  }

  /**
   * Adds an item, or restores the heap order after the rank of the item has changed.
   *
   * @param item - the item
   */
  upsert(item: Item): void {
    let index = this.indexes.get(item);
    if (index === undefined) {
      index = this.items.length;
      this.items.push(item);
      this.indexes.set(item, index);
    }
    this.siftDown(this.siftUp(index));
  }

  /**
   * Removes an item; nothing happens when it is not in the heap.
   *
   * @param item - the item
   */
  remove(item: Item): void {
    const index = this.indexes.get(item);
    if (index === undefined) return;
    this.indexes.delete(item);
    const last = this.items.pop()!;
    if (index === this.items.length) return;
    this.set(index, last);
    this.siftDown(this.siftUp(index));
  }

  private set(index: number, item: Item): void {
    this.items[index] = item;
    this.indexes.set(item, index);
  }

  private swap(left: number, right: number): void {
    const item = this.items[left]!;
    this.set(left, this.items[right]!);
    this.set(right, item);
  }

  private siftUp(from: number): number {
    let index = from;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.precedes(this.items[index]!, this.items[parent]!)) return index;
      this.swap(index, parent);
      index = parent;
    }
    return index;
  }

  private siftDown(from: number): void {
    let index = from;
    for (;;) {
      let best = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const exists = child < this.items.length;
        if (exists && this.precedes(this.items[child]!, this.items[best]!)) best = child;
      }
      if (best === index) return;
      this.swap(index, best);
      index = best;
    }
  }
}
