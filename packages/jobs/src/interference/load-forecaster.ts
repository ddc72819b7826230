import { findPeriod } from './find-period.js';
import { JobForecast } from './job-forecast.js';
import type { JobLoads } from './job-loads.js';
import type { LoadSample } from './load-sample.js';
import type { LoadSwing } from './load-swing.js';
import type { SwingPrior } from './swing-prior.js';

/** Interval of searches for the period. */
const SEARCH_INTERVAL_MILLISECONDS = 4000;

/** Interval of the steps of a search; it has up to about 50. */
const STEP_INTERVAL_MILLISECONDS = 40;

/** A job without a measurement for this long is forgotten. */
const RETENTION_MILLISECONDS = 30_000;

const INITIAL_PRIOR: SwingPrior = {
  mean: 0.5,
  meanDeviation: 0.15,
  cosine: 0,
  sine: 0,
  swingDeviation: 0.25,
};

/** Jobs with a well-known swing that are needed for the prior of others. */
const MINIMUM_SETTLED_JOBS = 2;

/** The means of jobs are assumed to differ at least by this. */
const MINIMUM_MEAN_DEVIATION = 0.04;

/**
 * Forecasts the loads of serving jobs that swing with a common period. Each job
 * has a phase of its own; the mean is expected to be like that of the others.
 */
export class LoadForecaster {
  private readonly jobs = new Map<string, JobForecast>();

  private readonly unloadedTailLatency: (job: string) => number;

  private periodMilliseconds: number | undefined;

  private searchedAt = Number.NEGATIVE_INFINITY;

  private steppedAt = Number.NEGATIVE_INFINITY;

  private search: ReturnType<typeof findPeriod> | undefined;

  private prior = INITIAL_PRIOR;

  /**
   * @param unloadedTailLatency - Tail latency of a job's tasks without load, in
   * milliseconds; 0 while it is unknown.
   */
  public constructor(unloadedTailLatency: (job: string) => number) {
    this.unloadedTailLatency = unloadedTailLatency;
  }

  /** Records a measurement of a job's load. */
  public record(job: string, sample: LoadSample): void {
    const forecast = this.jobs.get(job) ?? new JobForecast();
    this.jobs.set(job, forecast);
    forecast.record(sample);
  }

  /** Period of the swings; undefined while it is not known. */
  public get period(): number | undefined {
    return this.periodMilliseconds;
  }

  /** Adopts the period that an earlier process found. */
  public adoptPeriod(milliseconds: number): void {
    this.periodMilliseconds ??= milliseconds;
  }

  /** Returns the samples of each job, the oldest first. */
  public samples(): ReadonlyMap<string, readonly LoadSample[]> {
    const samples = new Map<string, readonly LoadSample[]>();
    for (const [job, forecast] of this.jobs) {
      samples.set(job, forecast.samples);
    }
    return samples;
  }

  /** Returns the swing of a job's load; undefined while it is not known well. */
  public swingOf(job: string, now: number): LoadSwing | undefined {
    this.searchPeriod(now);
    const { periodMilliseconds } = this;
    return periodMilliseconds === undefined
      ? undefined
      : this.jobs
          .get(job)
          ?.swing(
            periodMilliseconds,
            this.unloadedTailLatency(job),
            this.prior,
            now,
          );
  }

  /** Takes one step of the search for the period, or begins the next search. */
  private searchPeriod(now: number): void {
    if (now - this.steppedAt < STEP_INTERVAL_MILLISECONDS) {
      return;
    }
    this.steppedAt = now;
    if (this.search === undefined) {
      if (now - this.searchedAt >= SEARCH_INTERVAL_MILLISECONDS) {
        this.searchedAt = now;
        const loads = this.recentLoads(now);
        this.search = findPeriod(loads, this.prior, this.periodMilliseconds);
      }
      return;
    }
    const step = this.search.next();
    if (step.done === true) {
      this.search = undefined;
      this.periodMilliseconds = step.value ?? this.periodMilliseconds;
      this.prior = this.learnPrior();
    }
  }

  private recentLoads(now: number): readonly JobLoads[] {
    const loads: JobLoads[] = [];
    for (const [job, { samples, newestAt }] of this.jobs) {
      if (now - newestAt > RETENTION_MILLISECONDS) {
        this.jobs.delete(job);
        continue;
      }
      const unloadedTailLatency = this.unloadedTailLatency(job);
      if (unloadedTailLatency > 0) {
        loads.push({ samples: [...samples], unloadedTailLatency });
      }
    }
    return loads;
  }

  private learnPrior(): SwingPrior {
    const settled = [...this.jobs.values()].flatMap(
      forecast => forecast.settledSwing() ?? [],
    );
    if (settled.length < MINIMUM_SETTLED_JOBS) {
      return this.prior;
    }
    const mean = averageOf(settled.map(swing => swing.mean));
    const variance = averageOf(settled.map(swing => (swing.mean - mean) ** 2));
    return {
      mean,
      meanDeviation: Math.max(MINIMUM_MEAN_DEVIATION, Math.sqrt(variance)),
      cosine: 0,
      sine: 0,
      swingDeviation: averageOf(settled.map(swing => swing.amplitude)),
    };
  }
}

function averageOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
