import type { LoadSample } from './load-sample.js';

/** Samples closer together than this are merged into the better one. */
const SAMPLE_INTERVAL_MILLISECONDS = 400;

/** Time for which samples are kept. */
const RETENTION_MILLISECONDS = 45_000;

/** Recent samples of the load of one serving job, at most one per interval. */
export class LoadHistory {
  private readonly kept: LoadSample[] = [];

  /** The samples, the oldest first. */
  public get samples(): readonly LoadSample[] {
    return this.kept;
  }

  /** Adds a sample, unless a better one of the same interval is known. */
  public add(sample: LoadSample): void {
    const newest = this.kept.at(-1);
    if (
      newest === undefined ||
      sample.at - newest.at >= SAMPLE_INTERVAL_MILLISECONDS
    ) {
      this.kept.push(sample);
    } else if (isBetter(sample, newest)) {
      this.kept[this.kept.length - 1] = { ...sample, at: newest.at };
    }
    this.dropBefore(sample.at - RETENTION_MILLISECONDS);
  }

  private dropBefore(time: number): void {
    const keptFrom = this.kept.findIndex(({ at }) => at >= time);
    if (keptFrom > 0) {
      this.kept.splice(0, keptFrom);
    }
  }
}

/** The sample with less interference shows the load better. */
function isBetter(sample: LoadSample, other: LoadSample): boolean {
  return (
    sample.expectedSlowdown < other.expectedSlowdown ||
    (sample.expectedSlowdown === other.expectedSlowdown &&
      sample.tailLatency < other.tailLatency)
  );
}
