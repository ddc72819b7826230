import t from 'tap';

import type { StateFold } from '../../src/fold/state-fold.js';
import {
  readSnapshot,
  writeSnapshot,
} from '../../src/snapshot/snapshot-text.js';
import {
  foldAll,
  noteRecord,
  smallDeploymentFold,
} from '../support/small-deployment.js';

const size = { processors: 8, memoryGigabytes: 16, accelerators: 0 };

function decide(
  fold: StateFold,
  epoch: number,
  ...decisions: object[]
): string {
  const [outcome] = foldAll(fold, [
    { kind: 'decisions', body: { cell: 'here/0', epoch, decisions } },
  ]);
  const [first] = outcome?.voidDecisions ?? [];
  return first?.reason ?? outcome?.reason ?? '';
}

function place(task: string, attempt: number, worker = 'worker-1'): object {
  return {
    type: 'place',
    task,
    attempt,
    worker,
    resources: size,
    reason: 'test',
  };
}

function end(attemptId: string, outcome: string): object {
  return { type: 'end', attemptId, outcome, checkpoint: '', reason: '' };
}

const cases = [
  {
    name: 'first attempt',
    before: [],
    decision: place('job/reconcile@1', 1),
    reason: '',
  },
  {
    name: 'wrong attempt number',
    before: [],
    decision: place('job/reconcile@1', 2),
    reason: 'the attempt has another number',
  },
  {
    name: 'second active attempt',
    before: [place('job/reconcile@1', 1)],
    decision: place('job/reconcile@1', 2, 'worker-2'),
    reason: 'an attempt is active',
  },
  {
    name: 'unknown job',
    before: [],
    decision: place('job/nothing@1', 1),
    reason: 'the job is not in force',
  },
  {
    name: 'job added by another revision',
    before: [],
    decision: place('job/reconcile@9', 1),
    reason: 'the job is not in force',
  },
  {
    name: 'unknown worker',
    before: [],
    decision: place('job/reconcile@1', 1, 'worker-9'),
    reason: 'no such worker in the cell',
  },
  {
    name: 'full worker',
    before: [place('service/labels/0', 1), place('service/labels/1', 1)],
    decision: place('job/reconcile@1', 1),
    reason: 'the worker has no room',
  },
  {
    name: 'enough minions',
    before: [
      place('service/labels/0', 1),
      place('service/labels/1', 1, 'worker-2'),
    ],
    decision: place('service/labels/2', 1, 'worker-2'),
    reason: 'enough minions run',
  },
  {
    name: 'finished job',
    before: [place('job/reconcile@1', 1), end('job/reconcile@1#1', 'finished')],
    decision: place('job/reconcile@1', 2),
    reason: 'the job is finished',
  },
  {
    name: 'second end',
    before: [place('job/reconcile@1', 1), end('job/reconcile@1#1', 'finished')],
    decision: end('job/reconcile@1#1', 'finished'),
    reason: 'no such active attempt in the cell',
  },
  {
    name: 'end of a lapsed attempt',
    before: [
      place('job/reconcile@1', 1),
      end('job/reconcile@1#1', 'lapsed'),
      place('job/reconcile@1', 2),
    ],
    decision: end('job/reconcile@1#1', 'finished'),
    reason: 'no such active attempt in the cell',
  },
  {
    name: 'next attempt after an eviction',
    before: [place('job/reconcile@1', 1), end('job/reconcile@1#1', 'evicted')],
    decision: place('job/reconcile@1', 2, 'worker-2'),
    reason: '',
  },
  {
    name: 'unreachable worker',
    before: [
      {
        type: 'worker-condition',
        worker: 'worker-1',
        condition: 'unreachable',
        reason: '',
      },
    ],
    decision: place('job/reconcile@1', 1),
    reason: 'the worker is unreachable',
  },
  {
    name: 'worker leaves while attempts may run',
    before: [place('job/reconcile@1', 1)],
    decision: { type: 'worker-leave', worker: 'worker-1', reason: '' },
    reason: 'attempts may still run there',
  },
];

for (const { name, before, decision, reason } of cases) {
  t.test(`decision: ${name}`, t => {
    const fold = smallDeploymentFold();
    for (const earlier of before) {
      t.equal(decide(fold, 1, earlier), '');
    }
    t.equal(decide(fold, 1, decision), reason);
    t.end();
  });
}

t.test('decisions of a past epoch or of another writer are void', t => {
  const fold = smallDeploymentFold();
  foldAll(fold, [
    {
      kind: 'lease-claim',
      writer: 'other',
      body: {
        cell: 'here/0',
        holder: 'other',
        previousEpoch: 1,
        previousRenewals: 0,
      },
    },
  ]);
  t.equal(
    decide(fold, 1, place('job/reconcile@1', 1)),
    'epoch 1 of here/0 is over',
  );
  t.equal(
    decide(fold, 2, place('job/reconcile@1', 1)),
    'epoch 2 of here/0 is over',
  );
  t.equal(fold.scheduling.attempts.size, 0);
  t.end();
});

t.test('nothing is placed on a drained worker', t => {
  const fold = smallDeploymentFold();
  foldAll(fold, [noteRecord('drain', 1, '[drain worker-1]\n')]);
  t.equal(
    decide(fold, 1, place('job/reconcile@1', 1)),
    'the worker is drained',
  );
  t.end();
});

t.test(
  'a snapshot restores the same state, and folding continues from it',
  t => {
    const fold = smallDeploymentFold();
    decide(fold, 1, place('job/reconcile@1', 1));
    const restored = readSnapshot(writeSnapshot(fold));
    t.equal(writeSnapshot(restored), writeSnapshot(fold));
    for (const current of [fold, restored]) {
      t.equal(decide(current, 1, end('job/reconcile@1#1', 'finished')), '');
      t.equal(
        decide(current, 1, place('job/reconcile@1', 2)),
        'the job is finished',
      );
    }
    t.equal(writeSnapshot(restored), writeSnapshot(fold));
    t.equal(
      restored.scheduling.workers.get('worker-1')?.assigned.processors,
      0,
    );
    t.end();
  },
);
