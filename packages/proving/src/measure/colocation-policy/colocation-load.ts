import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { LoadSwing } from '@basilcourse/jobs/interference/load-swing';
import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

const SERVING_JOBS = 7;

const SERVING_IMAGES = 4;

const BATCH_IMAGES = 8;

/** Share of the pairs of images that interfere noticeably. */
const INTERFERING_SHARE = 0.55;

const PERIOD_MILLISECONDS = 20_000;

const MEAN_LOAD = 0.48;

const LOAD_AMPLITUDE = 0.24;

const BATCH_JOBS_PER_SECOND = 0.55;

/** Part by which interference rises and falls within seconds. */
const DRIFT = 0.25;

const STEP: StepSpecification = {
  taskCount: 6,
  processorMillicores: 6400,
  memoryMegabytes: 13_000,
  accelerators: 0,
  estimatedMilliseconds: 1000,
  after: [],
  checkpointing: false,
  gang: false,
  tightlyCoupled: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerMinion: 0,
  copiesAllowed: false,
  longRunning: true,
  image: '',
  tailTargetMilliseconds: 150,
  filling: false,
  missAllowance: 0,
};

/** A batch job, and when it is handed in. */
interface BatchArrival {
  readonly at: number;
  readonly specification: JobSpecification;
}

/** One load that every policy gets: jobs, their loads, and interference. */
export class ColocationLoad {
  public readonly serving: readonly JobSpecification[];

  public readonly arrivals: readonly BatchArrival[];

  private readonly swings = new Map<string, LoadSwing>();

  private readonly interference = new Map<string, number>();

  /** @param seconds - Time for which batch jobs are handed in. */
  public constructor(seed: number, seconds: number) {
    const random = seededRandom(seed);
    this.serving = Array.from({ length: SERVING_JOBS }, (_, number) =>
      this.addServing(number, random),
    );
    for (const serving of imagesOf('serving', SERVING_IMAGES)) {
      for (const batch of imagesOf('batch', BATCH_IMAGES)) {
        const interferes = random.next() < INTERFERING_SHARE;
        const slowdown = interferes ? 0.03 + 0.07 * random.next() : 0.004;
        this.interference.set(`${serving} ${batch}`, slowdown);
      }
    }
    this.arrivals = batchArrivals(seconds, random);
  }

  /** Returns how the load of a serving job swings. */
  public swingOf(job: string): LoadSwing | undefined {
    return this.swings.get(job);
  }

  /** Returns the mean slowdown by one core of each pair of images. */
  public pairs(): readonly (readonly [string, string, number])[] {
    return [...this.interference].map(([pair, slowdown]) => {
      const [serving = '', batch = ''] = pair.split(' ');
      return [serving, batch, slowdown];
    });
  }

  /** Returns the slowdown by one core of a batch image at a time. */
  public slowdownPerCore(serving: string, batch: string, now: number): number {
    const mean = this.interference.get(`${serving} ${batch}`) ?? 0;
    const phase = serving.length + batch.charCodeAt(batch.length - 1);
    return mean * (1 + DRIFT * Math.sin(now / 1100 + phase));
  }

  private addServing(number: number, random: RandomSource): JobSpecification {
    const identifier = `serving-job-${number}`;
    this.swings.set(identifier, {
      mean: MEAN_LOAD,
      amplitude: LOAD_AMPLITUDE,
      periodMilliseconds: PERIOD_MILLISECONDS,
      peakAt: random.next() * PERIOD_MILLISECONDS,
    });
    const image = `serving${number % SERVING_IMAGES}`;
    return jobOf(identifier, { ...STEP, image });
  }
}

function batchArrivals(
  seconds: number,
  random: RandomSource,
): readonly BatchArrival[] {
  const arrivals: BatchArrival[] = [];
  let at = 0;
  while (at < seconds * 1000) {
    at += (-Math.log(1 - random.next()) * 1000) / BATCH_JOBS_PER_SECOND;
    const step = {
      ...STEP,
      image: `batch${Math.floor(random.next() * BATCH_IMAGES)}`,
      taskCount: 4 + Math.floor(random.next() * 8),
      processorMillicores: 2500 + Math.floor(random.next() * 2000),
      memoryMegabytes: 6400,
      estimatedMilliseconds: 2500 + Math.floor(random.next() * 1500),
      longRunning: false,
      tailTargetMilliseconds: 0,
      filling: true,
      checkpointing: true,
    };
    const identifier = `batch-job-${arrivals.length}`;
    arrivals.push({ at, specification: jobOf(identifier, step) });
  }
  return arrivals;
}

function jobOf(identifier: string, step: StepSpecification): JobSpecification {
  return {
    identifier,
    queue: 'queue',
    payload: '',
    steps: [step],
    repetitions: 0,
    firstDueAt: 0,
    intervalMilliseconds: 0,
  };
}

function imagesOf(kind: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, number) => `${kind}${number}`);
}
