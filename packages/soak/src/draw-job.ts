import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { JobRequest } from '@basilcourse/platform-stand-in/caller/job-request';

const SHORTEST_WORK_MILLISECONDS = 300;

const WORK_RANGE_MILLISECONDS = 3500;

const KINDS_IN_TURN = 10;

type Step = JobRequest['steps'][number];

const PLAIN_STEP: Step = {
  tasks: 3,
  processorMillicores: 900,
  memoryMegabytes: 500,
  after: [],
  checkpointing: false,
  lasting: false,
};

/** More tasks than one record of a job's progress has. */
const WIDE_STEP: Step = {
  ...PLAIN_STEP,
  tasks: 150,
  processorMillicores: 5,
  memoryMegabytes: 5,
};

type JobShape = Pick<
  JobRequest,
  'payload' | 'steps' | 'repetitions' | 'intervalMilliseconds'
>;

function once(payload: string, steps: readonly Step[]): JobShape {
  return { payload, steps, repetitions: 0, intervalMilliseconds: 0 };
}

/** Shapes of jobs by their place among ten; others are plain ones of two steps. */
const SHAPES: Readonly<Record<number, (work: number) => JobShape>> = {
  2: work => ({
    payload: `work_ms=${Math.round(work / 4)}`,
    steps: [{ ...PLAIN_STEP, processorMillicores: 90 }],
    repetitions: 8,
    intervalMilliseconds: 600,
  }),
  4: () => once('lasting', [{ ...PLAIN_STEP, lasting: true }]),
  6: work =>
    once(`work_ms=${work} saves`, [{ ...PLAIN_STEP, checkpointing: true }]),
  8: work =>
    once(`work_ms=${work} saves`, [
      { ...WIDE_STEP, checkpointing: true },
      { ...WIDE_STEP, checkpointing: true, after: [0] },
    ]),
};

/** Draws the job of a number; its kind depends on the number alone. */
export function drawJob(
  seed: number,
  number: number,
  random: RandomSource,
): JobRequest {
  const work = Math.round(
    SHORTEST_WORK_MILLISECONDS + random.next() * WORK_RANGE_MILLISECONDS,
  );
  const shape =
    SHAPES[number % KINDS_IN_TURN]?.(work) ??
    once(`work_ms=${work}`, [PLAIN_STEP, { ...PLAIN_STEP, after: [0] }]);
  const identifier = `${hexadecimal(seed)}${hexadecimal(number)}`;
  return { identifier, ...shape };
}

function hexadecimal(number: number): string {
  return number.toString(16).padStart(8, '0');
}
