import t from 'tap';

import type { Fault } from '../../src/invariants/fault.js';
import { runScenario } from '../../src/invariants/run-scenario.js';

interface GoldenRun {
  readonly name: string;
  readonly workers: number;
  readonly jobs: number;
  readonly faults: readonly Fault[];
}

const runs: readonly GoldenRun[] = [
  {
    name: 'a worker crashes during an outage of the log',
    workers: 2,
    jobs: 1,
    faults: [
      { at: 1, kind: 'kill-worker', target: 1 },
      { at: 1, kind: 'log-down', target: 0 },
    ],
  },
  {
    name: 'a holder is paused past the end of its lease and resumes',
    workers: 3,
    jobs: 5,
    faults: [
      { at: 6, kind: 'cut-worker', target: 2 },
      { at: 8, kind: 'pause-process', target: 0 },
      { at: 30, kind: 'resume-process', target: 0 },
    ],
  },
  {
    name: 'the old holder reaches a worker that the new one cannot',
    workers: 2,
    jobs: 4,
    faults: [
      { at: 4, kind: 'cut-process-from-log', target: 0 },
      { at: 4, kind: 'cut-process-from-workers', target: 1 },
    ],
  },
  {
    name: 'a rack is lost during an outage of the log',
    workers: 4,
    jobs: 6,
    faults: [
      { at: 5, kind: 'log-down', target: 0 },
      { at: 6, kind: 'kill-worker', target: 0 },
      { at: 6, kind: 'kill-worker', target: 2 },
      { at: 20, kind: 'log-up', target: 0 },
    ],
  },
  {
    name: 'urgent work arrives with a burst of cancellations',
    workers: 2,
    jobs: 14,
    faults: [
      { at: 5, kind: 'cancel-jobs', target: 0 },
      { at: 5, kind: 'add-urgent-job', target: 1 },
      { at: 9, kind: 'add-urgent-job', target: 2 },
    ],
  },
  {
    name: 'a worker fails every task that it starts',
    workers: 4,
    jobs: 12,
    faults: [{ at: 0, kind: 'break-worker', target: 1 }],
  },
  {
    name: 'a worker is drained while responses are lost',
    workers: 3,
    jobs: 6,
    faults: [
      { at: 4, kind: 'lose-worker-answers', target: 0 },
      { at: 6, kind: 'drain-worker', target: 0 },
    ],
  },
  {
    name: 'all processes are replaced at once',
    workers: 3,
    jobs: 6,
    faults: [
      { at: 6, kind: 'kill-process', target: 0 },
      { at: 6, kind: 'kill-process', target: 0 },
      { at: 7, kind: 'add-process', target: 0 },
      { at: 7, kind: 'add-process', target: 0 },
    ],
  },
  {
    name: 'five operators publish at the same moment',
    workers: 2,
    jobs: 2,
    faults: [{ at: 5, kind: 'conflicting-notes', target: 0 }],
  },
];

for (const [index, { name, workers, jobs, faults }] of runs.entries()) {
  t.test(name, async t => {
    const seed = 100 + index;
    const run = await runScenario({ seed, workers, jobs, faults });
    t.matchSnapshot(run.timeline().join('\n'));
    t.same(run.recorder.violations, []);
  });
}
