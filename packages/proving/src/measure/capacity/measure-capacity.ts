import { measureDecisionCost } from '../colocation/measure-decision-cost.js';
import { markdownTable } from '../markdown-table.js';
import type { Measurement } from '../measurement.js';
import type { FleetMetrics } from '../shared-state/measure-fleet.js';
import { measureFleet } from '../shared-state/measure-fleet.js';
import type { FoldMetrics } from '../shared-state/measure-fold.js';
import { measureFold } from '../shared-state/measure-fold.js';
import { WORKERS_PER_CELL } from '../shared-state/synthetic-log.js';
import { TARGET } from '../shared-state/target.js';
import { fitLine } from './fit-line.js';

const TARGET_SHARES = [0.1, 0.5, 1];

const FLEET_AGENTS = [15, 60];

/** The holder of a cell's lease plans every 150 ms, as in the daemon. */
const PASSES_PER_SECOND = 1000 / 150;

const RENEWALS_PER_SECOND = 4 / 2.5;

const BYTES_PER_MEGABYTE = 1024 * 1024;

const CELLS = Math.ceil(TARGET.workers / WORKERS_PER_CELL);

const TASKS = TARGET.serviceTasks + TARGET.batchTasks;

function perCell(total: number): number {
  return total / CELLS;
}

function sizeRows(folds: readonly FoldMetrics[]): readonly string[][] {
  const tasks = folds.map(fold => fold.tasks);
  const heap = fitLine(
    tasks,
    folds.map(fold => fold.heapMegabytes),
  );
  const snapshot = fitLine(
    tasks,
    folds.map(fold => fold.snapshotBytes),
  );
  const read = fitLine(
    tasks,
    folds.map(fold => fold.readMilliseconds),
  );
  return [
    [
      'entry: state',
      `${(heap.slope * 1024).toFixed(2)} KB a task`,
      `${heap.valueAt(TASKS).toFixed(0)} MB of heap`,
      'every entry folds the whole log',
    ],
    [
      'entry: snapshot',
      `${snapshot.slope.toFixed(0)} bytes a task`,
      `${(snapshot.valueAt(TASKS) / BYTES_PER_MEGABYTE).toFixed(1)} MB, read in ${read.valueAt(TASKS).toFixed(0)} ms`,
      'chunked records under a lease',
    ],
  ];
}

function holderRows(): readonly string[][] {
  const cost = measureDecisionCost(WORKERS_PER_CELL);
  const startsPerSecond = perCell(TARGET.startsPerSecond);
  const idleShare = (cost.microsecondsPerIdlePass * PASSES_PER_SECOND) / 1e6;
  const placementShare =
    (cost.microsecondsPerPlacement * startsPerSecond) / 1e6;
  const percentage = ((idleShare + placementShare) * 100).toFixed(2);
  return [
    [
      'holder of a cell: decisions',
      `${cost.microsecondsPerPlacement.toFixed(0)} µs a placement, ${cost.microsecondsPerIdlePass.toFixed(0)} µs a pass`,
      `${percentage} % of a core at ${startsPerSecond.toFixed(1)} starts/s`,
      `${CELLS} cells of ${WORKERS_PER_CELL} workers, one lease each`,
    ],
    [
      'log: appends',
      `${PASSES_PER_SECOND.toFixed(1)} batches and ${RENEWALS_PER_SECOND.toFixed(1)} renewals a second and cell at most`,
      `${((PASSES_PER_SECOND + RENEWALS_PER_SECOND) * CELLS).toFixed(0)} appends/s at the peak`,
      'decisions batched by pass',
    ],
  ];
}

function nodeRows(fleets: readonly FleetMetrics[]): readonly string[][] {
  const largestFleet = fleets.at(-1);
  const agents = fleets.map(fleet => fleet.agents);
  const spread = fitLine(
    agents,
    fleets.map(fleet => fleet.inForceMaximumMilliseconds),
  );
  return [
    [
      'agent: heartbeats and relay',
      `${(largestFleet?.idleBytesPerSecondPerAgent ?? 0).toFixed(0)} bytes/s, no slope with the fleet`,
      `${((largestFleet?.idleBytesPerSecondPerAgent ?? 0) / 1024).toFixed(1)} KB/s`,
      'three home entries by rendezvous hashing',
    ],
    [
      'any node: processor, idle',
      `${((largestFleet?.idleProcessorSharePerNode ?? 0) * 100).toFixed(2)} % of a core at ${largestFleet?.agents ?? 0} agents`,
      'share of a whole process of many nodes',
      'one task for each peer',
    ],
    [
      'spread of a note',
      `${spread.slope.toFixed(1)} ms an agent on one machine`,
      `${spread.valueAt(TARGET.workers).toFixed(0)} ms by that line; ${largestFleet?.inForceMaximumMilliseconds.toFixed(0) ?? ''} ms measured`,
      'one reader of the log a zone, streams to the rest',
    ],
  ];
}

/** Extrapolates the measured cost of each role to the target size. */
export const measureCapacity: Measurement = async print => {
  // Warm-up run, whose result is discarded.
  measureFold(0.1);
  const folds = TARGET_SHARES.map(measureFold);
  const fleets: FleetMetrics[] = [];
  for (const agents of FLEET_AGENTS) {
    fleets.push(await measureFleet(agents));
  }
  print(
    markdownTable([
      ['role and matter', 'measured slope', 'at the target size', 'mechanism'],
      ...sizeRows(folds),
      ...holderRows(),
      ...nodeRows(fleets),
    ]),
  );
};
