import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';

/** Returns an incarnation of a minion with the given processor capacity. */
export function makeMinion(
  name: string,
  incarnation: number,
  capacity: number,
): MinionIncarnation {
  return {
    identifier: `${name}#${incarnation}`,
    description: {
      incarnation: `${name}|${name}#${incarnation}|${incarnation}`,
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
