import type { LogFields } from '@basilcourse/foundation/logging/log-fields';
import { JobTable } from '@basilcourse/jobs/state/job-table';
import t from 'tap';

import { InterferenceWatch } from '../../src/leader/interference-watch.js';
import { WaitReporter } from '../../src/leader/wait-reporter.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';

interface Reports {
  readonly lines: LogFields[];
  readonly reporter: WaitReporter;
  readonly reportAt: (now: number) => void;
}

/** A reporter over jobs that have waited since the time 1 without a minion. */
function reportsOf(jobs: number): Reports {
  const lines: LogFields[] = [];
  const tell = (_sentence: string, fields: LogFields = {}): void => {
    lines.push(fields);
  };
  const table = new JobTable();
  for (let number = 0; number < jobs; number += 1) {
    const specification = makeSpecification(`j${number}`, [makeStep(2, 1)]);
    const job = table.add(specification, QUEUE_SETTINGS, 0);
    for (const task of job.tasks()) {
      task.waitingSince = 1;
    }
  }
  const reporter = new WaitReporter({ info: tell, warn: tell, error: tell });
  const state = { table, interference: new InterferenceWatch() };
  return {
    lines,
    reporter,
    reportAt: now => {
      reporter.reportIfDue(state, now);
    },
  };
}

t.test('tells of a task since when it waits, after 2 s and each 4 s', t => {
  const { lines, reporter, reportAt } = reportsOf(1);
  reportAt(1900);
  t.equal(reporter.longestMilliseconds, 0);
  for (let now = 2000; now <= 8000; now += 100) {
    reportAt(now);
  }
  t.match(lines[0], { cause: 'room', tasks: 2, minions: '' });
  t.same(
    lines.map(({ waitedMilliseconds }) => waitedMilliseconds),
    [2899, 6899],
  );
  t.equal(reporter.longestMilliseconds, 7899);
  t.end();
});

t.test('tells of each waiting step in turn, a few lines a second', t => {
  const { lines, reportAt } = reportsOf(100);
  for (let second = 3; second < 20; second += 1) {
    const before = lines.length;
    reportAt(second * 1000);
    t.ok(lines.length - before <= 8);
  }
  t.equal(new Set(lines.map(({ task }) => task)).size, 100);
  t.end();
});
