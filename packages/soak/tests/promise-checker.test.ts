import type { CallResult } from '@basilcourse/platform-stand-in/caller/job-caller';
import type { JobRequest } from '@basilcourse/platform-stand-in/caller/job-request';
import t from 'tap';

import { PromiseChecker } from '../src/promise-checker.js';

const ROOM = { processorMillicores: 1000, memoryMegabytes: 1000 };

const STEP = {
  tasks: 2,
  processorMillicores: 400,
  memoryMegabytes: 100,
  after: [],
  checkpointing: false,
  lasting: false,
};

const JOB: JobRequest = {
  identifier: 'j',
  payload: 'work_ms=1',
  steps: [STEP, { ...STEP, tasks: 1, after: [0] }],
  repetitions: 0,
  intervalMilliseconds: 0,
};

type Kind = 'started' | 'ended' | 'acknowledged' | 'forgotten' | 'lost';

/** A checker of one job that was handed in, and answered as given. */
class Story {
  public readonly checker = new PromiseChecker(ROOM);

  public constructor(job = JOB, result: CallResult = 'done') {
    this.checker.apply({ kind: 'submitted', job });
    this.answer(result);
  }

  /** Answers a call that hands the job in. */
  public answer(result: CallResult): void {
    const identifier = 'j';
    this.checker.apply({
      kind: 'answered',
      call: 'submit',
      identifier,
      result,
    });
  }

  /** Adds an event of a run, written as `kind task run minion reason`. */
  public tell(...lines: readonly string[]): readonly string[] {
    for (const line of lines) {
      const [kind = '', task = '', run, minion = '', reason = ''] =
        line.split(' ');
      const event = {
        kind: kind as Kind,
        task,
        run: Number(run),
        minion,
        reason,
      };
      this.checker.apply({ kind: 'run', event });
    }
    return this.checker.breaches;
  }
}

t.test('a job that runs as promised breaks nothing', t => {
  const story = new Story();
  const breaches = story.tell(
    'started j.0.0.0 1 m',
    'started j.0.0.1 1 m',
    'ended j.0.0.0 1 m done',
    'acknowledged j.0.0.0 1 m done',
    'lost j.0.0.1 1 m lost',
    'started j.0.0.1 2 n',
    'ended j.0.0.1 2 n done',
    'forgotten j.0.0.1 2 n done',
    'started j.0.0.1 3 n',
    'ended j.0.0.1 3 n done',
    'started j.0.1.0 1 n',
    'ended j.0.1.0 1 n done',
  );
  t.same(breaches, []);
  t.equal(story.checker.lackOf(JOB, 'completed'), undefined);
  t.end();
});

const BROKEN: Readonly<Record<string, readonly string[]>> = {
  'began while run 1 is on m': ['started j.0.0.0 1 m', 'started j.0.0.0 2 n'],
  'after a success was acknowledged': [
    'started j.0.0.0 1 m',
    'ended j.0.0.0 1 m done',
    'acknowledged j.0.0.0 1 m done',
    'started j.0.0.0 2 n',
  ],
  'after a success, acknowledged later': [
    'started j.0.0.0 1 m',
    'ended j.0.0.0 1 m done',
    'started j.0.0.0 2 n',
    'acknowledged j.0.0.0 1 m done',
  ],
  'before step 0 was done': [
    'started j.0.0.0 1 m',
    'ended j.0.0.0 1 m done',
    'started j.0.1.0 1 m',
  ],
  'where there is no room': [
    'started j.0.0.0 1 m',
    'started j.0.0.1 1 m',
    'started j.0.0.2 1 m',
  ],
  'which nobody asked for': ['started other.0.0.0 1 m'],
};

t.test('each broken promise is found, once', t => {
  for (const [text, lines] of Object.entries(BROKEN)) {
    const breaches = new Story().tell(...lines);
    t.equal(breaches.length, 1, text);
    t.match(breaches[0], text);
  }
  t.end();
});

t.test('a job that was refused for certain must not run', t => {
  const story = new Story(JOB, 'refused');
  t.same(story.tell('started j.0.0.0 1 m'), [], 'a second call may be open');
  story.checker.checkUnwanted();
  t.match(story.checker.breaches[0], 'was not accepted');
  const answered = new Story(JOB, 'refused');
  answered.tell('started j.0.0.0 1 m');
  answered.answer('refused');
  t.match(answered.checker.breaches[0], 'though the job was refused');
  const accepted = new Story(JOB, 'refused');
  accepted.tell('started j.0.0.0 1 m');
  accepted.answer('done');
  accepted.checker.checkUnwanted();
  t.same(accepted.checker.breaches, []);
  t.same(new Story(JOB, 'unknown').tell('started j.0.0.0 1 m'), []);
  t.end();
});

t.test('at the end, accepted jobs are done or last, cancelled ones stop', t => {
  const { checker } = new Story();
  t.match(checker.lackOf(JOB, 'running'), "is shown as 'running'");
  t.match(checker.lackOf(JOB, 'no such job'), 'no such job');
  const lasting = { ...JOB, steps: [{ ...STEP, lasting: true }] };
  const story = new Story(lasting);
  t.match(story.checker.lackOf(lasting, 'running'), 'nothing of it runs');
  story.tell('started j.0.0.0 1 m');
  t.equal(story.checker.lackOf(lasting, 'running'), undefined);
  const answer = { identifier: 'j', result: 'done' } as const;
  story.checker.apply({ kind: 'answered', call: 'cancel', ...answer });
  story.checker.checkUnwanted();
  t.match(story.checker.breaches[0], 'was cancelled, and 1 run');
  t.same(story.checker.accepted(), []);
  const untold = new Story(lasting);
  untold.tell('started j.0.0.0 1 m');
  const lost = { identifier: 'j', result: 'unknown' } as const;
  untold.checker.apply({ kind: 'answered', call: 'cancel', ...lost });
  untold.checker.checkUnwanted();
  t.same(untold.checker.breaches, [], 'a cancellation that got no answer');
  t.same(untold.checker.accepted(), []);
  t.end();
});
