import { deviationAt, fitSwing } from './fit-swing.js';
import type { FittedSwing } from './fitted-swing.js';
import { LoadHistory } from './load-history.js';
import type { LoadSample } from './load-sample.js';
import type { LoadSwing } from './load-swing.js';
import type { SwingPrior } from './swing-prior.js';

/** Interval at which the swing is fitted again. */
const FIT_INTERVAL_MILLISECONDS = 1500;

/** A swing with a larger standard deviation within its period is not used. */
const MAXIMUM_DEVIATION = 0.06;

/** Points of the period at which the deviation is looked at. */
const CHECKED_POINTS = 4;

/** Weight of the samples from which a swing counts for the prior of others. */
const SETTLED_WEIGHT = 15;

/** Samples of the load of one job, and the swing that fits them. */
export class JobForecast {
  private readonly history = new LoadHistory();

  private fittedAt = Number.NEGATIVE_INFINITY;

  private weight = 0;

  private newestSwing: LoadSwing | undefined;

  /** The samples, the oldest first. */
  public get samples(): readonly LoadSample[] {
    return this.history.samples;
  }

  /** Unix milliseconds of the newest sample. */
  public get newestAt(): number {
    return this.history.samples.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
  }

  /** Records a measurement. */
  public record(sample: LoadSample): void {
    this.history.add(sample);
  }

  /** Returns the swing; undefined while it is not known well. */
  public swing(
    periodMilliseconds: number,
    unloadedTailLatency: number,
    prior: SwingPrior,
    now: number,
  ): LoadSwing | undefined {
    const isOld = now - this.fittedAt >= FIT_INTERVAL_MILLISECONDS;
    if (isOld && unloadedTailLatency > 0) {
      this.fittedAt = now;
      const fitted = fitSwing(
        this.samples,
        unloadedTailLatency,
        periodMilliseconds,
        prior,
      );
      this.weight = fitted.weight;
      this.newestSwing = isKnownWell(fitted, periodMilliseconds)
        ? swingFrom(fitted, periodMilliseconds)
        : undefined;
    }
    return this.newestSwing;
  }

  /** Returns the swing if enough samples support it. */
  public settledSwing(): LoadSwing | undefined {
    return this.weight >= SETTLED_WEIGHT ? this.newestSwing : undefined;
  }
}

function isKnownWell(fitted: FittedSwing, period: number): boolean {
  for (let point = 0; point < CHECKED_POINTS; point += 1) {
    const at = (point * period) / CHECKED_POINTS;
    if (deviationAt(fitted, at, period) > MAXIMUM_DEVIATION) {
      return false;
    }
  }
  return true;
}

function swingFrom(
  { mean, cosine, sine }: FittedSwing,
  periodMilliseconds: number,
): LoadSwing {
  const angle = Math.atan2(sine, cosine);
  return {
    mean,
    amplitude: Math.hypot(cosine, sine),
    periodMilliseconds,
    peakAt: (angle / (2 * Math.PI)) * periodMilliseconds,
  };
}
