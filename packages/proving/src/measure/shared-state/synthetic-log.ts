import type { RecordEnvelope } from '@basilcourse/shared-state/log/record-envelope';
import type { StoredRecord } from '@basilcourse/shared-state/log/stored-record';
import { RECORD_VERSION } from '@basilcourse/shared-state/records/record-kinds';
import { cellOfWorker } from '@basilcourse/shared-state/scheduling/cell-names';

import { TARGET } from './target.js';

/** Workers of a cell at the target size. */
export const WORKERS_PER_CELL = 40;

const JOBS_PER_NOTE = 500;

const DECISIONS_PER_RECORD = 30;

const REGION = 'region';

/** Number of workers, cells and tasks of a fleet. */
export interface FleetSize {
  readonly workers: number;
  readonly cells: number;
  readonly minions: number;
  readonly jobs: number;
}

/** Returns the size of a fleet at a share of the target size, from 0 to 1. */
export function fleetSize(share: number): FleetSize {
  const workers = Math.max(2, Math.round(TARGET.workers * share));
  return {
    workers,
    cells: Math.max(1, Math.ceil(workers / WORKERS_PER_CELL)),
    minions: Math.max(2, Math.round(TARGET.serviceTasks * share)),
    jobs: Math.max(2, Math.round(TARGET.batchTasks * share)),
  };
}

function noteBody(name: string, basedOn: number, sections: string): object {
  const text = `[note]\nname = ${name}\noperator = measure\nbased-on = ${basedOn}\n${sections}`;
  return { operator: 'measure', text };
}

function jobSections(from: number, to: number): string {
  return Array.from(
    { length: to - from },
    (_, index) => `[job job-${from + index}]
team = team-0
task-kind = kind-${index % 50}
processors = 1
memory-gigabytes = 2
`,
  ).join('');
}

/** Builds the release notes, cell leases and worker records of a fleet. */
export function syntheticLog(size: FleetSize): readonly StoredRecord[] {
  const records: StoredRecord[] = [];
  const append = (kind: string, body: object): void => {
    const offset = records.length;
    const envelope: RecordEnvelope = {
      id: `record-${offset}`,
      kind,
      version: RECORD_VERSION,
      writer: 'holder',
      writtenAt: offset,
      body,
    };
    records.push({ offset, envelope });
  };
  const appendDecisions = (
    cell: string,
    decisions: readonly object[],
  ): void => {
    for (let from = 0; from < decisions.length; from += DECISIONS_PER_RECORD) {
      const part = decisions.slice(from, from + DECISIONS_PER_RECORD);
      append('decisions', { cell, epoch: 1, decisions: part });
    }
  };
  const cells = Array.from(
    { length: size.cells },
    (_, index) => `${REGION}/${index}`,
  );
  append(
    'release-note',
    noteBody(
      'first',
      0,
      `[limits]
cells-per-region = ${size.cells}
[team team-0]
processors = 100000
memory-gigabytes = 1000000
[service labels]
team = team-0
task-kind = label
processors = 1
memory-gigabytes = 2
minions = ${Math.min(10_000, size.minions)}
`,
    ),
  );
  for (let from = 0; from < size.jobs; from += JOBS_PER_NOTE) {
    const to = Math.min(size.jobs, from + JOBS_PER_NOTE);
    append('release-note', noteBody(`jobs-${from}`, 1, jobSections(from, to)));
  }
  const workers = Array.from({ length: size.workers }, (_, index) => {
    const worker = `worker-${index}`;
    return { worker, cell: cellOfWorker(worker, REGION, size.cells) };
  });
  for (const cell of cells) {
    const claim = { previousEpoch: 0, previousRenewals: 0 };
    append('lease-claim', { cell, holder: 'holder', ...claim });
    const joins = workers
      .filter(worker => worker.cell === cell)
      .map(({ worker }, index) => ({
        type: 'worker-join',
        description: {
          worker,
          address: '127.0.0.1:1',
          region: REGION,
          availabilityZone: `zone-${index % TARGET.zones}`,
          rack: `rack-${index % 100}`,
          resources: { processors: 64, memoryGigabytes: 250, accelerators: 2 },
        },
      }));
    appendDecisions(cell, joins);
  }
  return records;
}

/** Builds the bodies of the records that place all tasks of a fleet. */
export function placementsOf(
  size: FleetSize,
  ownerOf: (task: string) => string | undefined,
  workersOf: (cell: string) => readonly string[],
): readonly object[] {
  const tasks = [
    ...Array.from(
      { length: size.minions },
      (_, index) => `service/labels/${index}`,
    ),
    ...Array.from(
      { length: size.jobs },
      (_, index) => `job/job-${index}@${2 + Math.floor(index / JOBS_PER_NOTE)}`,
    ),
  ];
  const decisionsByCell = new Map<string, object[]>();
  for (const [index, task] of tasks.entries()) {
    const cell = ownerOf(task) ?? '';
    const workers = workersOf(cell);
    const decisions = decisionsByCell.get(cell) ?? [];
    decisions.push({
      type: 'place',
      task,
      attempt: 1,
      worker: workers[index % workers.length] ?? '',
      resources: { processors: 1, memoryGigabytes: 2, accelerators: 0 },
      reason: 'score -0.743, 38 of 40 workers had room',
    });
    decisionsByCell.set(cell, decisions);
  }
  return [...decisionsByCell].flatMap(([cell, decisions]) => {
    const bodies: object[] = [];
    for (let from = 0; from < decisions.length; from += DECISIONS_PER_RECORD) {
      const part = decisions.slice(from, from + DECISIONS_PER_RECORD);
      bodies.push({ cell, epoch: 1, decisions: part });
    }
    return bodies;
  });
}
