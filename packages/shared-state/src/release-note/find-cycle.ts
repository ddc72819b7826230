import type { BatchJob } from './batch-job.js';

/** Returns the names along a cycle of dependencies, if there is one. */
export function findCycle(
  jobs: ReadonlyMap<string, BatchJob>,
): readonly string[] | undefined {
  const finished = new Set<string>();
  const visit = (
    name: string,
    path: readonly string[],
  ): readonly string[] | undefined => {
    if (path.includes(name)) {
      return [...path.slice(path.indexOf(name)), name];
    }
    if (finished.has(name)) {
      return undefined;
    }
    for (const predecessor of jobs.get(name)?.after ?? []) {
      const cycle = visit(predecessor, [...path, name]);
      if (cycle !== undefined) {
        return cycle;
      }
    }
    finished.add(name);
    return undefined;
  };
  for (const job of jobs.values()) {
    const cycle = job.after.length === 0 ? undefined : visit(job.name, []);
    if (cycle !== undefined) {
      return cycle;
    }
  }
  return undefined;
}
