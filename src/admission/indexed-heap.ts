/** A binary heap that also removes or moves any of its items in O(log n). */
export class IndexedHeap<Item> {
  private readonly items: Item[] = [];

  private readonly places = new Map<Item, number>();

  private constructor(private readonly precedes: (left: Item, right: Item) => boolean) {}

  /**
   * Creates an empty heap.
   *
   * @param precedes - true when the left item comes out before the right one
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
   * Reads the first item.
   *
   * @returns the item, or undefined when the heap is empty
   */
  peek(): Item | undefined {
    return this.items[0];
  }

  /**
   * Tells whether an item is in the heap.
   *
   * @param item - the item
   * @returns true when it is
   */
  has(item: Item): boolean {
    return this.places.has(item);
  }

  /**
   * Adds an item, or moves it after its order has changed.
   *
   * @param item - the item
   */
  put(item: Item): void {
    let place = this.places.get(item);
    if (place === undefined) {
      place = this.items.length;
      this.items.push(item);
      this.places.set(item, place);
    }
    this.sink(this.rise(place));
  }

  /**
   * Removes an item; nothing happens when it is not in the heap.
   *
   * @param item - the item
   */
  remove(item: Item): void {
    const place = this.places.get(item);
    if (place === undefined) return;
    this.places.delete(item);
    const last = this.items.pop()!;
    if (place === this.items.length) return;
    this.set(place, last);
    this.sink(this.rise(place));
  }

  private set(place: number, item: Item): void {
    this.items[place] = item;
    this.places.set(item, place);
  }

  private swap(left: number, right: number): void {
    const item = this.items[left]!;
    this.set(left, this.items[right]!);
    this.set(right, item);
  }

  private rise(from: number): number {
    let place = from;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (!this.precedes(this.items[place]!, this.items[parent]!)) return place;
      this.swap(place, parent);
      place = parent;
    }
    return place;
  }

  private sink(from: number): void {
    let place = from;
    for (;;) {
      let best = place;
      for (const child of [2 * place + 1, 2 * place + 2]) {
        const exists = child < this.items.length;
        if (exists && this.precedes(this.items[child]!, this.items[best]!)) best = child;
      }
      if (best === place) return;
      this.swap(place, best);
      place = best;
    }
  }
}
