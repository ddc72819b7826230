/** Lowest tail latency that any task of a serving image has had. */
export interface LowestTailLatency {
  readonly image: string;
  readonly milliseconds: number;
}
