import { pause } from '@basilcourse/platform-stand-in/time/pause';

import { disturbPath } from './disturb-path.js';
import type { SoakDeployment } from './soak-deployment.js';
import type { Trouble } from './trouble.js';

/**
 * Starts a minion again under its identifier, without a connection that closes,
 * and without heartbeats until the trouble is over.
 */
function rebornUnnoticed(
  disturbNext: (
    deployment: SoakDeployment,
    number: number,
    milliseconds: number,
  ) => Promise<void>,
): Trouble {
  return {
    target: 'minion',
    cause: async (deployment, number, milliseconds) => {
      const minion = deployment.minions[number];
      if (minion !== undefined) {
        minion.sendsHeartbeats = false;
        minion.restartUnnoticed();
        await disturbNext(deployment, number, milliseconds);
        minion.sendsHeartbeats = true;
      }
    },
  };
}

/** Time in which orders reach the next life before it is cut off. */
const ORDERS_MILLISECONDS = 600;

/** Cuts last longer than a lease at times. */
const CUT_FACTOR = 4;

/** Minions that start again under their identifiers, and orders that come late. */
export const REBORN_TROUBLES: Readonly<Record<string, Trouble>> = {
  'minion-reborn-unnoticed': rebornUnnoticed(
    (_deployment, _number, milliseconds) => pause(milliseconds),
  ),
  'minion-reborn-unanswered': rebornUnnoticed(
    ({ minionPaths }, number, milliseconds) =>
      disturbPath(minionPaths[number], 'drops-answers', milliseconds),
  ),
  'minion-reborn-and-cut': rebornUnnoticed(
    async ({ minionPaths }, number, milliseconds) => {
      await pause(ORDERS_MILLISECONDS);
      const path = minionPaths[number];
      await disturbPath(path, 'drops-all', milliseconds * CUT_FACTOR);
    },
  ),
  'minion-reborn-and-agent-paused': rebornUnnoticed(
    async ({ programs }, number, milliseconds) => {
      const agent = programs.get(`agent-${number}`);
      await pause(ORDERS_MILLISECONDS);
      agent?.signal('SIGSTOP');
      await pause(milliseconds * CUT_FACTOR);
      agent?.signal('SIGCONT');
    },
  ),
  'minion-reborn-as-calls-are-held': {
    target: 'minion',
    cause: async ({ minions, minionPaths }, number, milliseconds) => {
      const path = minionPaths[number];
      if (path !== undefined) {
        path.mode = 'holds';
        await pause(milliseconds / 2);
        minions[number]?.restartUnnoticed();
        await pause(milliseconds / 2);
        path.mode = 'forwards';
      }
    },
  },
  'minion-late-orders': {
    target: 'minion',
    cause: async ({ minions }, number, milliseconds) => {
      const minion = minions[number];
      if (minion !== undefined) {
        minion.lateCalls.active = true;
        await pause(milliseconds);
        minion.lateCalls.active = false;
      }
    },
  },
  'minion-reborn-amid-late-orders': {
    target: 'minion',
    cause: async ({ minions }, number, milliseconds) => {
      const minion = minions[number];
      if (minion !== undefined) {
        minion.lateCalls.active = true;
        await pause(milliseconds / 2);
        minion.restartUnnoticed();
        await pause(milliseconds / 2);
        minion.lateCalls.active = false;
      }
    },
  },
};
