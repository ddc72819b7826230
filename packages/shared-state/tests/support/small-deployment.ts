import type { FoldOutcome } from '../../src/fold/fold-outcome.js';
import { StateFold } from '../../src/fold/state-fold.js';
import type { StoredRecord } from '../../src/log/stored-record.js';

/** Input for one record of a test; absent fields get defaults. */
interface RecordInput {
  readonly id?: string;
  readonly kind: string;
  readonly body: unknown;
  readonly writer?: string;
}

/** Turns bodies into stored records with consecutive offsets. */
export function storedRecords(
  records: readonly RecordInput[],
  from = 0,
): readonly StoredRecord[] {
  return records.map(({ id, kind, body, writer }, index) => ({
    offset: from + index,
    envelope: {
      id: id ?? `record-${from + index}`,
      kind,
      version: 1,
      writer: writer ?? 'holder',
      writtenAt: 1000 * (from + index),
      body,
    },
  }));
}

/** Folds records in order and returns their outcomes. */
export function foldAll(
  fold: StateFold,
  records: readonly RecordInput[],
): readonly FoldOutcome[] {
  return storedRecords(records, fold.next).flatMap(record => {
    const outcome = fold.apply(record);
    return outcome === undefined ? [] : [outcome];
  });
}

/** Record of a release note. */
export function noteRecord(
  name: string,
  basedOn: number,
  sections: string,
  id = `note-${name}`,
): RecordInput {
  const text = `[note]\nname = ${name}\noperator = tester\nbased-on = ${basedOn}\n${sections}`;
  return { id, kind: 'release-note', body: { operator: 'tester', text } };
}

/** Release note sections of a small deployment. */
export const SMALL_DEPLOYMENT = `
[shape standard]
processors = 16
memory-gigabytes = 64
[team docks]
processors = 64
memory-gigabytes = 256
[service labels]
team = docks
task-kind = label
processors = 4
memory-gigabytes = 8
minions = 2
[job reconcile]
team = docks
task-kind = reconcile
processors = 8
memory-gigabytes = 16
`;

/** A fold with the small deployment in force and two workers in one cell. */
export function smallDeploymentFold(): StateFold {
  const fold = new StateFold();
  foldAll(fold, [
    noteRecord('first', 0, SMALL_DEPLOYMENT),
    {
      kind: 'lease-claim',
      body: {
        cell: 'here/0',
        holder: 'holder',
        previousEpoch: 0,
        previousRenewals: 0,
      },
    },
    {
      kind: 'decisions',
      body: {
        cell: 'here/0',
        epoch: 1,
        decisions: ['worker-1', 'worker-2'].map(worker => ({
          type: 'worker-join',
          description: {
            worker,
            address: '127.0.0.1:1',
            region: 'here',
            availabilityZone: 'here-1',
            rack: 'rack-1',
            resources: { processors: 16, memoryGigabytes: 64, accelerators: 0 },
          },
        })),
      },
    },
  ]);
  return fold;
}
