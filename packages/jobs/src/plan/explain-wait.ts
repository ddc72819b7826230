import type { JobTable } from '../state/job-table.js';
import { CandidateMinion } from './candidate-minion.js';
import { findMinionObstacle } from './find-minion-obstacle.js';
import type { LongWait } from './long-wait.js';
import type { MinionChooser } from './minion-chooser.js';
import type { Obstacle } from './obstacle.js';

/** Why the minions of a service do not have a task that waits. */
export interface WaitExplanation {
  /** Minions by what keeps the task off them; `none` if it could start there. */
  readonly minions: ReadonlyMap<Obstacle | 'none', number>;
  /** Largest free memory of a minion that accepts starts. */
  readonly mostMemoryMegabytes: number;
  /** Largest processor time that no reservation takes on such a minion. */
  readonly mostProcessorMillicores: number;
  /** Largest processor time that is expected to be idle on such a minion. */
  readonly mostIdleMillicores: number;
}

/**
 * Counts the minions of the job's service, or the minion that a start is on its way
 * to, by what keeps a waiting task off them now.
 *
 * @param chooser - Judges minions that accept starts, for tasks of this step.
 */
export function explainWait(
  { task, cause, job }: LongWait,
  table: JobTable,
  chooser: MinionChooser,
  now: number,
): WaitExplanation {
  const minions = new Map<Obstacle | 'none', number>();
  let mostMemoryMegabytes = 0;
  let mostProcessorMillicores = 0;
  let mostIdleMillicores = 0;
  for (const minion of table.minions.values()) {
    const { service } = minion.description ?? {};
    const concerns =
      cause === 'room'
        ? service === undefined || service === job.queue.service
        : minion.incarnation === task.incarnation;
    if (!concerns) {
      continue;
    }
    const candidate = new CandidateMinion(minion);
    const unavailable = findMinionObstacle(minion, now);
    const obstacle =
      unavailable ?? chooser.obstacleTo(task, candidate) ?? 'none';
    minions.set(obstacle, (minions.get(obstacle) ?? 0) + 1);
    if (unavailable === undefined) {
      const { memoryMegabytes, processorMillicores, idleMillicores } =
        candidate;
      mostMemoryMegabytes = Math.max(mostMemoryMegabytes, memoryMegabytes);
      mostProcessorMillicores = Math.max(
        mostProcessorMillicores,
        processorMillicores,
      );
      mostIdleMillicores = Math.max(mostIdleMillicores, idleMillicores);
    }
  }
  return {
    minions,
    mostMemoryMegabytes,
    mostProcessorMillicores,
    mostIdleMillicores,
  };
}
