import { createHash } from 'node:crypto';

import type { TaskBehaviour } from './task-behaviour.js';

const MAXIMUM_INTERFERENCE = 0.35;

const INTERFERENCE_FREE_SHARE = 0.5;

const UNSIGNED_INTEGER_RANGE = 2 ** 32;

/**
 * Pseudorandom number from 0 to 1, derived from the seed and the text. A change
 * of the texts changes the result of every run with a given seed.
 */
function pseudorandomFraction(seed: number, text: string): number {
  const digest = createHash('sha256').update(`${seed} ${text}`).digest();
  return digest.readUInt32BE(0) / UNSIGNED_INTEGER_RANGE;
}

/**
 * Creates a behaviour that depends only on the seed. About half of the ordered
 * pairs of task kinds have no interference.
 */
export function seededBehaviour(seed: number): TaskBehaviour {
  return {
    interference: (taskKind, neighbour) => {
      const fraction = pseudorandomFraction(
        seed,
        `harm ${taskKind} ${neighbour}`,
      );
      const excess = Math.max(0, fraction - INTERFERENCE_FREE_SHARE);
      return (excess / (1 - INTERFERENCE_FREE_SHARE)) * MAXIMUM_INTERFERENCE;
    },
    actualSeconds: command =>
      command.declaredSeconds *
      (0.5 + 1.5 * pseudorandomFraction(seed, `time ${command.task}`)),
    usedShare: taskKind =>
      0.4 + 0.6 * pseudorandomFraction(seed, `size ${taskKind}`),
    failureReason: () => '',
  };
}
