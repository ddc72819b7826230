import type { RandomSource } from '@basilcourse/foundation/random/random-source';

/** What is drawn for each run and each order. */
export interface FakeMinionFaults {
  readonly random: RandomSource;
  /** Share of the starts that get no answer and are carried out late. */
  readonly lateShare: () => number;
  readonly workMilliseconds: () => number;
}
