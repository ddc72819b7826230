import type { MinionClient } from './minion-client.js';
import type { MinionTracker } from './minion-tracker.js';

/**
 * Polls the incarnation that a heartbeat names, if it is another than the present
 * one. It gets no lease before it has answered.
 */
export async function pollCandidate(
  tracker: MinionTracker,
  client: MinionClient,
  fencingToken: number,
): Promise<void> {
  const { candidate } = tracker;
  if (candidate === undefined) {
    return;
  }
  try {
    await client.poll(candidate, {
      fencingToken,
      expiresAt: undefined,
      endsThrough: 0,
      waitMilliseconds: 0,
    });
    tracker.recordCandidateAnswer(candidate);
  } catch (error) {
    tracker.recordCandidateFailure(candidate, error);
  }
}
