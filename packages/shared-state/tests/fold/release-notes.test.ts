import t from 'tap';

import { StateFold } from '../../src/fold/state-fold.js';
import {
  foldAll,
  noteRecord,
  SMALL_DEPLOYMENT,
} from '../support/small-deployment.js';

function verdictsOf(fold: StateFold): readonly string[] {
  return [...fold.configuration.verdicts.values()].map(
    ({ name, accepted, revision, reasons }) =>
      `${name} ${accepted ? 'in force' : 'rejected'} at ${revision}: ${reasons.join('; ')}`,
  );
}

const job = (name: string, more = ''): string => `
[job ${name}]
team = docks
task-kind = reconcile
processors = 1
memory-gigabytes = 1
${more}`;

t.test('of five concurrent notes on one name exactly one is accepted', t => {
  const fold = new StateFold();
  foldAll(fold, [noteRecord('first', 0, SMALL_DEPLOYMENT)]);
  foldAll(
    fold,
    ['a', 'b', 'c', 'd', 'e'].map(name => noteRecord(name, 1, job('same'))),
  );
  const accepted = [...fold.configuration.verdicts.values()].filter(
    verdict => verdict.accepted,
  );
  t.same(
    accepted.map(({ name }) => name),
    ['first', 'a'],
  );
  t.matchSnapshot(verdictsOf(fold).join('\n'));
  t.end();
});

t.test('concurrent notes on different names are all accepted', t => {
  const fold = new StateFold();
  foldAll(fold, [
    noteRecord('first', 0, SMALL_DEPLOYMENT),
    noteRecord('left', 1, job('left')),
    noteRecord('right', 1, job('right')),
  ]);
  t.equal(fold.configuration.revision, 3);
  t.ok(fold.configuration.jobs.has('left'));
  t.ok(fold.configuration.jobs.has('right'));
  t.end();
});

t.test('a repeated append of one note is applied once', t => {
  const fold = new StateFold();
  const first = noteRecord('first', 0, SMALL_DEPLOYMENT);
  const outcomes = foldAll(fold, [first, first]);
  t.same(
    outcomes.map(({ reason }) => reason),
    ['', 'repeated record'],
  );
  t.equal(fold.configuration.revision, 1);
  t.equal(fold.configuration.verdicts.size, 1);
  t.end();
});

const rejected = [
  { name: 'unknown-team', text: job('x').replace('docks', 'nobody') },
  {
    name: 'larger-than-a-worker',
    text: job('x').replace('processors = 1', 'processors = 17'),
  },
  {
    name: 'over-quota',
    text: '[service more]\nteam = docks\ntask-kind = m\nprocessors = 16\nmemory-gigabytes = 1\nminions = 4\n',
  },
  { name: 'cycle', text: `${job('x', 'after = y')}${job('y', 'after = x')}` },
  { name: 'unknown-predecessor', text: job('x', 'after = nothing') },
  { name: 'unknown-withdrawal', text: '[withdraw-job nothing]\n' },
  {
    name: 'wrong-number',
    text: job('x').replace('memory-gigabytes = 1', 'memory-gigabytes = much'),
  },
];

t.test('rejected notes give reasons and change nothing', t => {
  const fold = new StateFold();
  foldAll(fold, [noteRecord('first', 0, SMALL_DEPLOYMENT)]);
  foldAll(
    fold,
    rejected.map(({ name, text }) => noteRecord(name, 1, text)),
  );
  t.equal(fold.configuration.revision, 1);
  t.equal(fold.configuration.jobs.size, 1);
  t.matchSnapshot(verdictsOf(fold).join('\n'));
  t.end();
});

t.test('a note based on a future revision is rejected', t => {
  const fold = new StateFold();
  foldAll(fold, [noteRecord('early', 7, SMALL_DEPLOYMENT)]);
  t.equal(fold.configuration.revision, 0);
  t.end();
});

t.test('a job that is withdrawn and added again is a different task', t => {
  const fold = new StateFold();
  foldAll(fold, [
    noteRecord('first', 0, SMALL_DEPLOYMENT),
    noteRecord('second', 1, '[withdraw-job reconcile]\n'),
    noteRecord('third', 2, job('reconcile')),
  ]);
  t.equal(fold.configuration.jobsSince.get('reconcile'), 3);
  t.end();
});

t.test('records of unknown kinds are skipped', t => {
  const fold = new StateFold();
  const outcomes = foldAll(fold, [
    { kind: 'not-invented-yet', body: { any: 'thing' } },
    { kind: 'release-note', body: { text: 3 } },
    noteRecord('first', 0, SMALL_DEPLOYMENT),
  ]);
  t.same(
    outcomes.map(({ reason }) => reason),
    ['unknown kind', 'malformed body', ''],
  );
  t.equal(fold.configuration.revision, 1);
  t.end();
});
