/** A map of fixed capacity that evicts its oldest entries. */
export class BoundedMap<Value> {
  private readonly entries = new Map<string, Value>();

  private readonly capacity: number;

  private readonly onDrop: (value: Value) => void;

  private droppedCount = 0;

  /**
   * @param onDrop - Called with each value that is evicted as the map is full.
   */
  public constructor(
    capacity: number,
    onDrop: (value: Value) => void = () => undefined,
  ) {
    this.capacity = capacity;
    this.onDrop = onDrop;
  }

  public get size(): number {
    return this.entries.size;
  }

  /** Number of entries evicted because the map was full. */
  public get dropped(): number {
    return this.droppedCount;
  }

  public get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  public has(key: string): boolean {
    return this.entries.has(key);
  }

  /**
   * Stores a value as the newest entry, and evicts the oldest one if the map is
   * full.
   */
  public set(key: string, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    this.dropOldest();
  }

  public delete(key: string): void {
    this.entries.delete(key);
  }

  /** Returns the values from the oldest to the newest. */
  public values(): IterableIterator<Value> {
    return this.entries.values();
  }

  /** Removes entries, oldest first, until the condition no longer holds. */
  public dropWhile(condition: (value: Value) => boolean): void {
    for (const [key, value] of this.entries) {
      if (!condition(value)) {
        return;
      }
      this.entries.delete(key);
    }
  }

  private dropOldest(): void {
    if (this.entries.size <= this.capacity) {
      return;
    }
    const oldest = this.entries.entries().next();
    if (oldest.done !== true) {
      const [key, value] = oldest.value;
      this.entries.delete(key);
      this.droppedCount += 1;
      this.onDrop(value);
    }
  }
}
