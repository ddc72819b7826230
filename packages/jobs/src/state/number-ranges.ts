/** First and last number of a range without gaps. */
export type NumberRange = readonly [number, number];

/** A set of whole numbers, kept as ranges in rising order. */
export class NumberRanges {
  private ranges: readonly NumberRange[] = [];

  /** Number of numbers in the set. */
  public get count(): number {
    return this.ranges.reduce(
      (sum, [first, last]) => sum + last - first + 1,
      0,
    );
  }

  /** Returns the ranges, which neither overlap nor touch. */
  public toRows(): readonly NumberRange[] {
    return this.ranges;
  }

  /** Adds all numbers from the first to the last. */
  public addRange(first: number, last: number): void {
    const before = this.ranges.filter(range => range[1] < first - 1);
    const after = this.ranges.filter(range => range[0] > last + 1);
    const joined = this.ranges.slice(
      before.length,
      this.ranges.length - after.length,
    );
    const range: NumberRange = [
      Math.min(first, ...joined.map(([start]) => start)),
      Math.max(last, ...joined.map(([, end]) => end)),
    ];
    this.ranges = [...before, range, ...after];
  }

  /** Returns whether a number is in the set. */
  public has(number: number): boolean {
    return this.nextMissing(number) !== number;
  }

  /** Returns the lowest number from the given one on that is not in the set. */
  public nextMissing(from: number): number {
    const range = this.ranges.find(
      ([first, last]) => first <= from && from <= last,
    );
    return range === undefined ? from : range[1] + 1;
  }
}
