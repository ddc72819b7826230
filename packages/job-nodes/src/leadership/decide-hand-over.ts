/** A candidate with fewer cores than this part of the most claims later. */
const SMALL_CANDIDATE_FRACTION = 0.7;

/** Time for which a small candidate lets larger ones claim first. */
const SMALL_CANDIDATE_DELAY_MILLISECONDS = 250;

/** A leader with fewer cores than this part of the most hands over. */
const HAND_OVER_FRACTION = 0.5;

/** Time for which a leader leads before it hands over. */
const MINIMUM_LEADING_MILLISECONDS = 2000;

/** Time between two hand-overs of one process. */
const HAND_OVER_INTERVAL_MILLISECONDS = 30_000;

/** What a leader decides on whether to hand over to another entry. */
export interface HandOverConditions {
  /** Processor time that this process can use, in cores. */
  readonly ownCores: number;
  /** The most that another entry, which can be reached, can use. */
  readonly mostCores: number;
  readonly leadingMilliseconds: number;
  /** Time since this process last handed over; infinite if it never did. */
  readonly sinceHandOverMilliseconds: number;
}

/**
 * Returns whether a leader hands over, so that all decisions are made where there
 * is processor time for them; seldom, as each hand-over takes a moment.
 */
export function shouldHandOver(conditions: HandOverConditions): boolean {
  const { ownCores, mostCores } = conditions;
  return (
    ownCores < mostCores * HAND_OVER_FRACTION &&
    conditions.leadingMilliseconds >= MINIMUM_LEADING_MILLISECONDS &&
    conditions.sinceHandOverMilliseconds >= HAND_OVER_INTERVAL_MILLISECONDS
  );
}

/** Returns by how long a candidate delays its claim for larger ones. */
export function smallCandidateDelay(
  ownCores: number,
  mostCores: number,
): number {
  return ownCores < mostCores * SMALL_CANDIDATE_FRACTION
    ? SMALL_CANDIDATE_DELAY_MILLISECONDS
    : 0;
}
