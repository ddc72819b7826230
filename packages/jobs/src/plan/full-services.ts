import type { CandidateMinion } from './candidate-minion.js';

/**
 * Share of the processor time or the memory beyond which a service is full. Users
 * expect a ready task to start while under half of the capacity is in use.
 */
const FULL_SHARE = 0.6;

/** Returns the services of which little capacity is left on the given minions. */
export function fullServices(
  candidates: readonly CandidateMinion[],
): ReadonlySet<string> {
  const byService = new Map<string, CandidateMinion[]>();
  for (const candidate of candidates) {
    const service = candidate.minion.description?.service ?? '';
    const others = byService.get(service) ?? [];
    others.push(candidate);
    byService.set(service, others);
  }
  const isFull = ([, minions]: readonly [
    string,
    readonly CandidateMinion[],
  ]): boolean => shareInUse(minions) >= FULL_SHARE;
  return new Set([...byService].filter(isFull).map(([service]) => service));
}

function shareInUse(minions: readonly CandidateMinion[]): number {
  let millicores = 0;
  let megabytes = 0;
  let freeMillicores = 0;
  let freeMegabytes = 0;
  for (const { minion, processorMillicores, memoryMegabytes } of minions) {
    millicores += minion.description?.capacity.processorMillicores ?? 0;
    megabytes += minion.description?.capacity.memoryMegabytes ?? 0;
    freeMillicores += processorMillicores;
    freeMegabytes += memoryMegabytes;
  }
  return (
    1 -
    Math.min(
      freeMillicores / Math.max(1, millicores),
      freeMegabytes / Math.max(1, megabytes),
    )
  );
}
