import type { StoreTrouble } from '@basilcourse/platform-stand-in/metadata-store/metadata-store-server';
import { pause } from '@basilcourse/platform-stand-in/time/pause';

import { disturbPath } from './disturb-path.js';
import { REBORN_TROUBLES } from './reborn-troubles.js';
import type { SoakDeployment } from './soak-deployment.js';
import type { ProxyMode } from './tcp-proxy.js';
import type { Trouble } from './trouble.js';

type SignalTarget = Extract<Trouble['target'], 'leader' | 'entry' | 'agent'>;

/** Sends a signal to a program, and another one after the time of the trouble. */
function signals(
  target: SignalTarget,
  first: NodeJS.Signals,
  last?: NodeJS.Signals,
): Trouble {
  return {
    target,
    cause: async (deployment, number, milliseconds) => {
      const name =
        target === 'leader' ? deployment.leader() : `${target}-${number}`;
      const program = deployment.programs.get(name ?? '');
      program?.signal(first);
      await pause(milliseconds);
      if (last !== undefined) {
        program?.signal(last);
      }
    },
  };
}

function storePath(target: 'entry' | 'agent', mode: ProxyMode): Trouble {
  return {
    target,
    cause: ({ storePaths }, number, milliseconds) =>
      disturbPath(storePaths.get(`${target}-${number}`), mode, milliseconds),
  };
}

function minionPath(mode: ProxyMode): Trouble {
  return {
    target: 'minion',
    cause: ({ minionPaths }, number, milliseconds) =>
      disturbPath(minionPaths[number], mode, milliseconds),
  };
}

function store(trouble: StoreTrouble): Trouble {
  return {
    target: 'store',
    cause: async (deployment, _number, milliseconds) => {
      deployment.store.trouble = trouble;
      await pause(milliseconds);
      deployment.store.trouble = 'none';
    },
  };
}

function oddHeartbeat(
  fields: (now: number) => Readonly<Record<string, unknown>>,
  ownIdentifier: boolean,
): Trouble {
  return {
    target: 'minion',
    cause: async ({ minions }, number) => {
      const minion = minions[number];
      const identifier = ownIdentifier ? minion?.life.identifier : 'i-other';
      await minion?.announce(identifier ?? '', fields(Date.now()));
    },
  };
}

async function restart(
  { minions, minionPaths }: SoakDeployment,
  number: number,
  milliseconds: number,
  identifier: string,
): Promise<void> {
  const path = minionPaths[number];
  const minion = minions[number];
  if (path === undefined || minion === undefined) {
    return;
  }
  path.mode = 'resets';
  minion.sendsHeartbeats = false;
  minion.life.crash();
  await pause(milliseconds);
  minion.restart(identifier);
  minion.sendsHeartbeats = true;
  path.mode = 'forwards';
}

/** What can be done to a deployment, by name. */
export const TROUBLES: Readonly<Record<string, Trouble>> = {
  'leader-killed': signals('leader', 'SIGKILL'),
  'leader-paused': signals('leader', 'SIGSTOP', 'SIGCONT'),
  'leader-stopped': signals('leader', 'SIGTERM'),
  'entry-killed': signals('entry', 'SIGKILL'),
  'entry-stopped': signals('entry', 'SIGTERM'),
  'entry-settings-read-again': signals('entry', 'SIGHUP', 'SIGHUP'),
  'agent-killed': signals('agent', 'SIGKILL'),
  'agent-paused': signals('agent', 'SIGSTOP', 'SIGCONT'),
  'agent-stopped': signals('agent', 'SIGTERM'),
  'all-killed': {
    target: 'all',
    cause: async ({ programs }, _number, milliseconds) => {
      for (const program of programs.values()) {
        program.signal('SIGKILL');
      }
      await pause(milliseconds);
    },
  },
  'entry-slow-to-store': storePath('entry', 'delays'),
  'entry-unheard-by-store': storePath('entry', 'drops-requests'),
  'entry-deaf-to-store': storePath('entry', 'drops-answers'),
  'entry-reset-by-store': storePath('entry', 'resets'),
  'agent-reset-by-store': storePath('agent', 'resets'),
  'minion-slow': minionPath('delays'),
  'minion-unheard': minionPath('drops-answers'),
  'minion-deaf': minionPath('drops-requests'),
  'minion-refuses': minionPath('resets'),
  'minion-restarted': {
    target: 'minion',
    cause: (deployment, number, milliseconds) => {
      const identifier = deployment.minions[number]?.life.identifier ?? '';
      return restart(deployment, number, milliseconds / 2, identifier);
    },
  },
  'minion-replaced': {
    target: 'minion',
    cause: (deployment, number, milliseconds) => {
      const identifier = `i-${number}-${Date.now()}`;
      return restart(deployment, number, milliseconds / 2, identifier);
    },
  },
  ...REBORN_TROUBLES,
  'minion-answers-lost': {
    target: 'minion',
    cause: async ({ minions }, number, milliseconds) => {
      const minion = minions[number];
      if (minion !== undefined) {
        minion.losesAnswers = true;
        await pause(milliseconds);
        minion.losesAnswers = false;
      }
    },
  },
  'odd-heartbeat-of-the-future': oddHeartbeat(() => ({ born: 9e15 }), false),
  'odd-heartbeat-of-another': oddHeartbeat(now => ({ born: now }), false),
  'odd-heartbeat-far-ahead': oddHeartbeat(() => ({ seq: 9e15 }), true),
  'odd-heartbeat-without-address': oddHeartbeat(
    () => ({ address: undefined }),
    true,
  ),
  'late-departure': {
    target: 'minion',
    cause: async ({ minions }, number) => {
      await minions[number]?.announceLateDeparture();
    },
  },
  'store-turns-away': store('turns-away'),
  'store-silent': store('silent'),
  'store-loses-answers': store('loses-answers'),
  'store-acts-late': store('acts-late'),
};
