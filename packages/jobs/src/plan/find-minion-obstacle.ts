import type { MinionEntry } from '../state/minion-entry.js';
import type { Obstacle } from './obstacle.js';

type MinionCheck = (minion: MinionEntry, now: number) => boolean;

const CHECKS: readonly (readonly [Obstacle, MinionCheck])[] = [
  ['disconnected', minion => !minion.connected],
  ['not described', minion => minion.description === undefined],
  ['draining', minion => minion.description?.draining === true],
  ['silent', minion => minion.description?.silent === true],
  ['backs off', (minion, now) => minion.backoffUntil > now],
];

/** Returns why no task may be started on a minion now; undefined if one may. */
export function findMinionObstacle(
  minion: MinionEntry,
  now: number,
): Obstacle | undefined {
  return CHECKS.find(([, applies]) => applies(minion, now))?.[0];
}
