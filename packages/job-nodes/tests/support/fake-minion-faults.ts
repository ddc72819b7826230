import type { RandomSource } from '@basilcourse/foundation/random/random-source';

/** Random faults and durations, drawn for each run and each order. */
export interface FakeMinionFaults {
  readonly random: RandomSource;
  /** Share of the starts that get no answer and are carried out late. */
  readonly lateStartShare: () => number;
  readonly workMilliseconds: () => number;
}
