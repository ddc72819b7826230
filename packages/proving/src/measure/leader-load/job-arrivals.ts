import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

/** VMs of the load below; other numbers of VMs get a proportional load. */
export const REFERENCE_VMS = 54;

const BATCH_IMAGES = 18;

const SERVING_IMAGES = 10;

/** Share of the short jobs that have a second step. */
const SHARE_OF_TWO_STEPS = 0.6;

/** One kind of job, and how often it arrives at the reference size. */
export interface JobKind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  /** Jobs that are there from the beginning, at the reference size. */
  readonly initial: number;
  readonly steps: (random: RandomSource) => readonly StepSpecification[];
}

const PLAIN_STEP: StepSpecification = {
  taskCount: 10,
  processorMillicores: 630,
  memoryMegabytes: 1300,
  accelerators: 0,
  estimatedMilliseconds: 900,
  after: [],
  checkpointing: false,
  gang: false,
  tightlyCoupled: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerMinion: 0,
  copiesAllowed: false,
  longRunning: false,
  image: '',
  tailTargetMilliseconds: 0,
  filling: false,
  missAllowance: 0,
};

function imageOf(kind: string, count: number, random: RandomSource): string {
  return `${kind}${Math.floor(random.next() * count)}`;
}

function shortSteps(random: RandomSource): readonly StepSpecification[] {
  return random.next() < SHARE_OF_TWO_STEPS
    ? [PLAIN_STEP, { ...PLAIN_STEP, after: [0] }]
    : [PLAIN_STEP];
}

function batchSteps(random: RandomSource): readonly StepSpecification[] {
  const step = {
    ...PLAIN_STEP,
    taskCount: 20,
    processorMillicores: 3500,
    memoryMegabytes: 6400,
    estimatedMilliseconds: 3900,
    checkpointing: true,
    filling: true,
    image: imageOf('b', BATCH_IMAGES, random),
  };
  return [step, { ...step, after: [0] }];
}

function servingSteps(random: RandomSource): readonly StepSpecification[] {
  return [
    {
      ...PLAIN_STEP,
      taskCount: 14,
      processorMillicores: 6400,
      memoryMegabytes: 13_000,
      longRunning: true,
      image: imageOf('s', SERVING_IMAGES, random),
      tailTargetMilliseconds: 150,
    },
  ];
}

/** Short jobs, batch jobs with checkpoints, and serving jobs that last. */
export const JOB_KINDS: readonly JobKind[] = [
  {
    name: 'short',
    priority: 0,
    perSecond: 11.5,
    initial: 0,
    steps: shortSteps,
  },
  {
    name: 'batch',
    priority: 2,
    perSecond: 1.38,
    initial: 0,
    steps: batchSteps,
  },
  {
    name: 'serving',
    priority: 0,
    perSecond: 0,
    initial: 9,
    steps: servingSteps,
  },
];

/** Returns a job of a kind under an identifier of sixteen digits. */
export function arrivingJob(
  kind: JobKind,
  number: number,
  random: RandomSource,
): JobSpecification {
  return {
    identifier: number.toString(16).padStart(16, '0'),
    queue: kind.name,
    payload: 'text',
    steps: kind.steps(random),
    repetitions: 0,
    firstDueAt: 0,
    intervalMilliseconds: 0,
  };
}
