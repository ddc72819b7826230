import { GrantedLeases } from '@basilcourse/scheduler/cell/granted-leases';
import { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';
import { planCell } from '@basilcourse/scheduler/plan/plan-cell';
import { StateFold } from '@basilcourse/shared-state/fold/state-fold';

import type { FleetSize } from '../shared-state/synthetic-log.js';
import { placementsOf, syntheticLog } from '../shared-state/synthetic-log.js';

const PASSES = 5;

const WAITING_JOBS = 200;

const TASKS_PER_WORKER = 14;

/** Cost of planning passes over one cell with a number of workers. */
export interface DecisionCost {
  readonly workers: number;
  readonly microsecondsPerPlacement: number;
  readonly microsecondsPerIdlePass: number;
}

function foldOf(size: FleetSize, placedSize: FleetSize): StateFold {
  const fold = new StateFold();
  const log = syntheticLog(size);
  for (const record of log) {
    fold.apply(record);
  }
  const workers = [...fold.scheduling.workers.keys()];
  const bodies = placementsOf(
    placedSize,
    fold.scheduling.ownerCell,
    () => workers,
  );
  for (const [index, body] of bodies.entries()) {
    fold.apply({
      offset: log.length + index,
      envelope: {
        id: `placement-${index}`,
        kind: 'decisions',
        version: 1,
        writer: 'holder',
        writtenAt: 0,
        body,
      },
    });
  }
  return fold;
}

function timePass(fold: StateFold): {
  readonly placements: number;
  readonly milliseconds: number;
} {
  const planInput = {
    cell: 'region/0',
    configuration: fold.configuration,
    scheduling: fold.scheduling,
    views: new Map(),
    leases: new GrantedLeases(),
    estimator: new WorkloadEstimator(),
    announced: [],
    scorer: 'least-harm' as const,
  };
  const startedAt = performance.now();
  const decisions = planCell(planInput, 1);
  const milliseconds = performance.now() - startedAt;
  const placements = decisions.filter(({ type }) => type === 'place').length;
  return { placements, milliseconds };
}

/** Measures the planning passes of one cell, with and without waiting jobs. */
export function measureDecisionCost(workers: number): DecisionCost {
  const running = workers * TASKS_PER_WORKER;
  const minions = Math.floor(running / 2);
  const jobs = running - minions;
  const size = { workers, cells: 1, minions, jobs: jobs + WAITING_JOBS };
  const waiting = foldOf(size, { workers, cells: 1, minions, jobs });
  const idle = foldOf({ ...size, jobs }, { workers, cells: 1, minions, jobs });
  // Warm-up passes, whose times are discarded.
  timePass(waiting);
  timePass(idle);
  let placements = 0;
  let milliseconds = 0;
  let idleMilliseconds = 0;
  for (let pass = 0; pass < PASSES; pass += 1) {
    const waitingPass = timePass(waiting);
    placements += waitingPass.placements;
    milliseconds += waitingPass.milliseconds;
    idleMilliseconds += timePass(idle).milliseconds;
  }
  const placementMilliseconds = Math.max(0, milliseconds - idleMilliseconds);
  return {
    workers,
    microsecondsPerPlacement:
      (placementMilliseconds / Math.max(1, placements)) * 1000,
    microsecondsPerIdlePass: (idleMilliseconds / PASSES) * 1000,
  };
}
