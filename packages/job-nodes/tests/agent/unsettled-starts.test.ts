import t from 'tap';

import type { PolledLists } from '../../src/agent/polled-lists.js';
import { UnsettledStarts } from '../../src/agent/unsettled-starts.js';

const LIMITS = {
  longestLeaseMilliseconds: 10_000,
  longestCallDelayMilliseconds: 12_000,
};

/** 12,000 ms of delay and 10,600 ms of lease. */
const LONGEST_MILLISECONDS = 22_600;

const ORDER = { task: 'j.0.0.0', run: 1 };

const KEY = 'j.0.0.0/1';

function makeStarts(): UnsettledStarts {
  const starts = new UnsettledStarts(LIMITS);
  starts.add({
    order: ORDER,
    fencingToken: 5,
    incarnation: 'first',
    sentAt: 0,
  });
  return starts;
}

function makeLists(fields: Partial<PolledLists>): PolledLists {
  return {
    incarnation: 'first',
    fencingToken: 5,
    requestedAt: 100,
    listed: new Set(),
    complete: true,
    ...fields,
  };
}

t.test('a start for the present life concerns no other one', t => {
  const starts = makeStarts();
  t.same(starts.tasks('first'), []);
  t.same(starts.tasks('second'), [ORDER.task]);
  t.same(starts.tasks(undefined), [ORDER.task]);
  t.end();
});

t.test('a start is settled by a refusal or a list', t => {
  const refused = makeStarts();
  refused.settle(ORDER);
  t.ok(refused.isEmpty);
  const listed = makeStarts();
  listed.applyLists(makeLists({ listed: new Set([KEY]) }));
  t.ok(listed.isEmpty);
  t.end();
});

// Guards against a late order that the next life carries out.
t.test('the next life refuses a start once it has seen a later token', t => {
  const starts = makeStarts();
  starts.applyLists(makeLists({ incarnation: 'second' }));
  t.same(starts.tasks('second'), [ORDER.task], 'not under the same token');
  const later = makeLists({ incarnation: 'second', fencingToken: 6 });
  starts.applyLists({ ...later, complete: false });
  t.same(starts.tasks('second'), [ORDER.task], 'the lists are cut short');
  starts.applyLists(later);
  t.same(starts.tasks('second'), []);
  t.same(starts.tasks(undefined), [ORDER.task], 'a third life may take it');
  t.end();
});

t.test('a start can be carried out for as long as a call may be late', t => {
  const starts = makeStarts();
  starts.applyLists(makeLists({ requestedAt: 12_000 }));
  t.notOk(starts.isEmpty);
  starts.applyLists(makeLists({ requestedAt: 12_001 }));
  t.ok(starts.isEmpty);
  t.end();
});

t.test('without contact a run ends with the longest lease', t => {
  const starts = makeStarts();
  t.notOk(starts.expire(LONGEST_MILLISECONDS));
  t.ok(starts.expire(LONGEST_MILLISECONDS + 1));
  t.ok(starts.isEmpty);
  t.end();
});

// Guards against a lease that a later call without an answer prolonged.
t.test('a later call without an answer may prolong its lease', t => {
  const starts = makeStarts();
  starts.recordUnanswered(1500);
  t.notOk(starts.expire(1500 + LONGEST_MILLISECONDS));
  t.ok(starts.expire(1501 + LONGEST_MILLISECONDS));
  t.end();
});
