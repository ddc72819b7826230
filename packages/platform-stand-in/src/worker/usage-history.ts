import type { UsageSample } from '@basilcourse/scheduler/platform/usage-sample';

const SAMPLE_INTERVAL_MILLISECONDS = 1000;

const MAXIMUM_MEASUREMENTS = 300;

interface UsageMeasurement {
  readonly at: number;
  readonly samples: readonly UsageSample[];
}

/** Recent resource usage of the tasks on a worker, one measurement a second. */
export class UsageHistory {
  private measurements: UsageMeasurement[] = [];

  public record(samples: readonly UsageSample[], at: number): void {
    const last = this.measurements.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
    if (at - last >= SAMPLE_INTERVAL_MILLISECONDS) {
      this.measurements.push({ at, samples });
      this.measurements = this.measurements.slice(-MAXIMUM_MEASUREMENTS);
    }
  }

  /** Returns the latest samples taken at or before the given time. */
  public samplesBefore(time: number): UsageSample[] {
    const measurement = this.measurements.findLast(({ at }) => at <= time);
    return [...(measurement?.samples ?? [])];
  }

  public clear(): void {
    this.measurements = [];
  }
}
