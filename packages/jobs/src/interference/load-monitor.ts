import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import type { JobLoadSnapshot } from './job-load-snapshot.js';
import { LoadForecaster } from './load-forecaster.js';
import type { LoadSnapshot } from './load-snapshot.js';
import type { LoadSwing } from './load-swing.js';
import { loadAt } from './load-swing.js';
import type { LowestTailLatency } from './lowest-tail-latency.js';
import { loadOf } from './queue-model.js';
import { samplesToStore } from './samples-to-store.js';
import type { TailLatencySample } from './tail-latency-sample.js';
import { VersionedRows } from './versioned-rows.js';

/** Number of tasks whose time of the first sample is recorded. */
const MAXIMUM_TRACKED_TASKS = 20_000;

/** Samples of a task that are older than this are ignored. */
const SAMPLE_EXPIRY_MILLISECONDS = 1200;

/** Part of the lowest tail latency that is service time, not queueing. */
const UNLOADED_FRACTION = 0.8;

/** A tail latency above this part of its bound may be due to an overload. */
const MAXIMUM_UNLOADED_BOUND_FRACTION = 0.5;

/** The first samples of a task cover time before its start. */
const WARM_UP_MILLISECONDS = 1200;

/** Time from the middle of a measured interval until its sample is recorded. */
const SAMPLE_AGE_MILLISECONDS = 300;

/** Above this part of its bound, a tail latency may come from a backlog. */
const MAXIMUM_FORECAST_BOUND_FRACTION = 0.8;

/** Number of sample intervals by which a rising load is extrapolated. */
const PREDICTED_INTERVALS = 1;

const SAMPLE_INTERVAL_MILLISECONDS = 500;

/** Jobs whose loads are stored, to bound the size of the record. */
const MAXIMUM_STORED_JOBS = 150;

interface Sample {
  readonly tailLatency: number;
  readonly at: number;
}

interface JobSamples {
  readonly image: string;
  readonly samplesByTask: Map<string, Sample>;
  readonly previous: Sample;
  readonly newest: Sample;
}

/**
 * Monitors the tail latencies of serving jobs. The tasks of a job share its
 * load equally, so that the lowest tail latency among them shows the load
 * without interference.
 */
export class LoadMonitor {
  /** Whether the swings of loads are looked for. */
  public forecasting = true;

  private readonly jobs = new Map<string, JobSamples>();

  private readonly lowestTailLatencies = new VersionedRows<LowestTailLatency>(
    (versionedRow, row) => row.milliseconds < versionedRow.milliseconds,
  );

  private readonly forecaster = new LoadForecaster(job =>
    this.unloadedTailLatency(job),
  );

  private readonly firstSampleAt = new BoundedMap<number>(
    MAXIMUM_TRACKED_TASKS,
  );

  /** Records the tail latency of one task. */
  public record(sample: TailLatencySample, now: number): void {
    const { job, image, task, tailLatency, bound } = sample;
    if (tailLatency <= 0) {
      return;
    }
    const firstAt = this.firstSampleAt.get(task) ?? now;
    this.firstSampleAt.set(task, firstAt);
    if (now - firstAt < WARM_UP_MILLISECONDS) {
      return;
    }
    if (tailLatency <= bound * MAXIMUM_UNLOADED_BOUND_FRACTION) {
      this.recordLowest(image, tailLatency);
    }
    const isMeasured = tailLatency <= bound * MAXIMUM_FORECAST_BOUND_FRACTION;
    if (this.forecasting && isMeasured) {
      const { expectedSlowdown } = sample;
      const at = now - SAMPLE_AGE_MILLISECONDS;
      this.forecaster.record(job, { at, tailLatency, expectedSlowdown });
    }
    const samples = this.jobs.get(job) ?? {
      image,
      samplesByTask: new Map<string, Sample>(),
      previous: { tailLatency, at: now },
      newest: { tailLatency, at: now },
    };
    this.jobs.set(job, samples);
    samples.samplesByTask.set(task, { tailLatency, at: now });
    if (now - samples.newest.at >= SAMPLE_INTERVAL_MILLISECONDS) {
      this.jobs.set(job, {
        ...samples,
        previous: samples.newest,
        newest: { tailLatency: lowestOf(samples, now), at: now },
      });
    }
  }

  /** Returns how the load of a job swings; undefined while it is not known. */
  public swingOf(job: string, now: number): LoadSwing | undefined {
    return this.forecasting ? this.forecaster.swingOf(job, now) : undefined;
  }

  /** Returns the measured loads, to be stored. */
  public snapshot(now: number): LoadSnapshot {
    const jobs: JobLoadSnapshot[] = [];
    for (const [job, samples] of this.forecaster.samples()) {
      const image = this.jobs.get(job)?.image;
      if (image !== undefined && jobs.length < MAXIMUM_STORED_JOBS) {
        jobs.push({ job, image, samples: samplesToStore(samples, now) });
      }
    }
    const { period } = this.forecaster;
    return period === undefined ? { jobs } : { period, jobs };
  }

  /** Adopts the loads that an earlier process measured. */
  public restore({ period, jobs }: LoadSnapshot): void {
    if (period !== undefined) {
      this.forecaster.adoptPeriod(period);
    }
    for (const { job, image, samples } of jobs) {
      for (const [at, tailLatency, expectedSlowdown] of samples) {
        this.forecaster.record(job, { at, tailLatency, expectedSlowdown });
      }
      const [at, tailLatency] = samples.at(-1) ?? [0, 0];
      const newest = { tailLatency, at };
      const samplesByTask = new Map<string, Sample>();
      this.jobs.set(job, { image, samplesByTask, previous: newest, newest });
    }
  }

  /** Returns the load of a job at the time of the measurements of this moment. */
  public measuredLoad(job: string, now: number): number {
    const swing = this.swingOf(job, now);
    return swing === undefined
      ? loadOf(
          this.isolatedTailLatency(job, now),
          this.unloadedTailLatency(job),
        )
      : loadAt(swing, now - SAMPLE_AGE_MILLISECONDS);
  }

  /** Returns the tail latency of a task of the job without interference. */
  public isolatedTailLatency(job: string, now: number): number {
    const samples = this.jobs.get(job);
    return samples === undefined ? 0 : lowestOf(samples, now);
  }

  /** Returns the isolated tail latency expected after the next interval. */
  public predictedIsolatedTailLatency(job: string, now: number): number {
    const samples = this.jobs.get(job);
    if (samples === undefined) {
      return 0;
    }
    const rise = samples.newest.tailLatency - samples.previous.tailLatency;
    return lowestOf(samples, now) + Math.max(0, rise * PREDICTED_INTERVALS);
  }

  /**
   * Returns the tail latency of a task whose requests never queue; 0 while there
   * is no estimate.
   */
  public unloadedTailLatency(job: string): number {
    const samples = this.jobs.get(job);
    const lowest = samples && this.lowestTailLatencies.get(samples.image);
    return (lowest?.milliseconds ?? 0) * UNLOADED_FRACTION;
  }

  /** Version of the newest change of a lowest tail latency. */
  public get version(): number {
    return this.lowestTailLatencies.version;
  }

  /** Returns the lowest tail latencies found after a version; all after 0. */
  public lowestTailLatenciesSince(
    version: number,
  ): readonly LowestTailLatency[] {
    return this.lowestTailLatencies.since(version);
  }

  /** Adopts the lowest tail latencies that an earlier process recorded. */
  public adopt(lowestTailLatencies: readonly LowestTailLatency[]): void {
    for (const { image, milliseconds } of lowestTailLatencies) {
      this.recordLowest(image, milliseconds);
    }
  }

  /** Removes jobs without recent samples. */
  public evictIdle(now: number, retentionMilliseconds: number): void {
    for (const [job, { newest }] of this.jobs) {
      if (now - newest.at > retentionMilliseconds) {
        this.jobs.delete(job);
      }
    }
  }

  private recordLowest(image: string, tailLatency: number): void {
    const before =
      this.lowestTailLatencies.get(image)?.milliseconds ?? tailLatency;
    const milliseconds = Math.min(before, tailLatency);
    this.lowestTailLatencies.set(image, { image, milliseconds });
  }
}

function lowestOf({ samplesByTask, newest }: JobSamples, now: number): number {
  let lowest = Number.POSITIVE_INFINITY;
  for (const [task, { tailLatency, at }] of samplesByTask) {
    if (now - at > SAMPLE_EXPIRY_MILLISECONDS) {
      samplesByTask.delete(task);
    } else {
      lowest = Math.min(lowest, tailLatency);
    }
  }
  return Number.isFinite(lowest) ? lowest : newest.tailLatency;
}
