import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { PollResult } from './poll-result.js';

/** A longer checkpoint is not used: its task resumes from an earlier one. */
const MAXIMUM_CHECKPOINT_CHARACTERS = 4000;

/** Characters of all checkpoints that one poll passes on. */
const MAXIMUM_TOTAL_CHARACTERS = 1_000_000;

/**
 * Leaves out checkpoints of a minion that are too long, so that a report fits the
 * stream to the leader and an order the stream back.
 */
export function boundCheckpoints(
  result: PollResult,
  logger: PartLogger,
): PollResult {
  let total = 0;
  let leftOut = 0;
  const bounded = <Row extends { readonly checkpoint: string }>(
    row: Row,
  ): Row => {
    const { length } = row.checkpoint;
    const fits =
      length <= MAXIMUM_CHECKPOINT_CHARACTERS &&
      total + length <= MAXIMUM_TOTAL_CHARACTERS;
    if (fits) {
      total += length;
      return row;
    }
    leftOut += 1;
    return { ...row, checkpoint: '' };
  };
  const ends = result.ends.map(bounded);
  const running = result.running.map(bounded);
  if (leftOut === 0) {
    return result;
  }
  logger.warn('Checkpoints are too long to be used.', { leftOut });
  return { ...result, ends, running };
}
