import type { PollResult } from './poll-result.js';

/** Returns `task/run` of each running task and each ended run of a poll. */
export function listedRuns({ running, ends }: PollResult): ReadonlySet<string> {
  return new Set(
    [...running, ...ends].map(({ task, run }) => `${task}/${run}`),
  );
}
