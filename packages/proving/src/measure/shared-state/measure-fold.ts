import { StateFold } from '@basilcourse/shared-state/fold/state-fold';
import { RECORD_VERSION } from '@basilcourse/shared-state/records/record-kinds';
import {
  readSnapshot,
  writeSnapshot,
} from '@basilcourse/shared-state/snapshot/snapshot-text';

import { fleetSize, placementsOf, syntheticLog } from './synthetic-log.js';

/** Cost of the shared state at one size. */
export interface FoldMetrics {
  readonly share: number;
  readonly workers: number;
  readonly tasks: number;
  readonly records: number;
  readonly recordsPerSecond: number;
  readonly decisionsPerSecond: number;
  readonly heapMegabytes: number;
  readonly snapshotBytes: number;
  readonly writeMilliseconds: number;
  readonly readMilliseconds: number;
}

function heapMegabytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed / 1024 / 1024;
}

/**
 * Folds the log of a fleet at a share of the target size and measures time,
 * heap and snapshot.
 *
 * @throws {Error} When not all tasks of the fleet were placed.
 */
export function measureFold(share: number): FoldMetrics {
  const size = fleetSize(share);
  const log = syntheticLog(size);
  const before = heapMegabytes();
  const fold = new StateFold();
  const startedAt = performance.now();
  for (const record of log) {
    fold.apply(record);
  }
  const { scheduling } = fold;
  const workersByCell = new Map<string, string[]>();
  for (const { cell, description } of scheduling.workers.values()) {
    const workers = workersByCell.get(cell) ?? [];
    workers.push(description.worker);
    workersByCell.set(cell, workers);
  }
  const bodies = placementsOf(
    size,
    scheduling.ownerCell,
    cell => workersByCell.get(cell) ?? [],
  );
  const placementStartedAt = performance.now();
  for (const [index, body] of bodies.entries()) {
    fold.apply({
      offset: log.length + index,
      envelope: {
        id: `placement-${index}`,
        kind: 'decisions',
        version: RECORD_VERSION,
        writer: 'holder',
        writtenAt: index,
        body,
      },
    });
  }
  const endedAt = performance.now();
  const after = heapMegabytes();
  const records = log.length + bodies.length;
  const writeStartedAt = performance.now();
  const text = writeSnapshot(fold);
  const writeEndedAt = performance.now();
  readSnapshot(text);
  const readEndedAt = performance.now();
  const tasks = scheduling.attempts.size;
  if (tasks !== size.minions + size.jobs) {
    throw new Error(
      `only ${tasks} of ${size.minions + size.jobs} tasks were placed`,
    );
  }
  return {
    share,
    workers: size.workers,
    tasks,
    records,
    recordsPerSecond: (records / (endedAt - startedAt)) * 1000,
    decisionsPerSecond: (tasks / (endedAt - placementStartedAt)) * 1000,
    heapMegabytes: after - before,
    snapshotBytes: text.length,
    writeMilliseconds: writeEndedAt - writeStartedAt,
    readMilliseconds: readEndedAt - writeEndedAt,
  };
}
