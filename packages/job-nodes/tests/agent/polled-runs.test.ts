import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import t from 'tap';

import { PolledRuns } from '../../src/agent/polled-runs.js';

function makeEnd(number: number): RunEnd {
  return { number, task: 'j.0.0.0', run: 1, reason: 'done', checkpoint: '' };
}

function applyEnds(polled: PolledRuns, numbers: readonly number[]): void {
  const ends = numbers.map(makeEnd);
  polled.apply({ clock: 0, running: [], ends, hasMoreEnds: false }, 1);
}

// Guards against ends of the next life that are forgotten under the numbers of the last.
t.test('only ends that the last lists had are acknowledged', t => {
  const polled = new PolledRuns();
  t.equal(polled.acknowledgedThrough, 0);
  applyEnds(polled, [1, 2, 3]);
  t.equal(polled.acknowledgedThrough, 0, 'none is stored');
  polled.removeStoredEnds(2);
  t.equal(polled.acknowledgedThrough, 2);
  applyEnds(polled, [2, 3]);
  t.equal(polled.acknowledgedThrough, 2, 'one of them is still listed');
  applyEnds(polled, [3]);
  t.equal(polled.acknowledgedThrough, 0, 'the minion has dropped them');
  polled.removeStoredEnds(3);
  t.equal(polled.acknowledgedThrough, 3);
  polled.reset();
  t.equal(polled.acknowledgedThrough, 0);
  t.end();
});
