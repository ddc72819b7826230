import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';

/**
 * Returns an incarnation of a minion with the given processor capacity.
 *
 * @param identifier - That of an earlier incarnation, if it started again under it.
 */
export function makeMinion(
  name: string,
  incarnation: number,
  capacity: number,
  identifier = `${name}#${incarnation}`,
): MinionIncarnation {
  return {
    identifier,
    description: {
      incarnation: `${name}|${identifier}|${incarnation}`,
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
