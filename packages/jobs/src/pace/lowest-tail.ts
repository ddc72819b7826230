/** Lowest tail that a task of a serving image was ever seen with. */
export interface LowestTail {
  readonly image: string;
  readonly milliseconds: number;
}
