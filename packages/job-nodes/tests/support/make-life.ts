import type { MinionLife } from '../../src/agent/minion-life.js';

/** A life of a minion with the given processor time. */
export function makeLife(
  name: string,
  birth: number,
  capacity: number,
): MinionLife {
  return {
    identifier: `${name}#${birth}`,
    description: {
      incarnation: `${name}|${name}#${birth}|${birth}`,
      service: 'service',
      zone: 'zone',
      capacity: {
        processorMillicores: capacity,
        memoryMegabytes: 10_000,
        accelerators: 0,
      },
      labels: ['kind', 'rack'],
      draining: false,
      remainingMilliseconds: 0,
    },
  };
}
