import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { Resources } from '@basilcourse/shared-state/records/resources';

import type { UsageSample } from '../platform/usage-sample.js';
import { DecayingQuantile } from './decaying-quantile.js';

/** Maximum number of kinds with recorded usage. */
const MAXIMUM_KINDS = 2000;

/** Number of samples below which the declared resources are assigned. */
const MINIMUM_SAMPLES = 20;

const HIGH_QUANTILE = 0.95;

const BASELINE_QUANTILE = 0.1;

/** Safety margin above the measured quantile. */
const HEADROOM_FACTOR = 1.15;

/** Lowest share of the declared resources that is assigned. */
const MINIMUM_DECLARED_SHARE = 0.5;

interface KindUsage {
  readonly processors: DecayingQuantile;
  readonly memoryGigabytes: DecayingQuantile;
  readonly cyclesPerInstruction: DecayingQuantile;
}

function newKindUsage(): KindUsage {
  return {
    processors: new DecayingQuantile(),
    memoryGigabytes: new DecayingQuantile(),
    cyclesPerInstruction: new DecayingQuantile(),
  };
}

function estimate(declared: number, usage: DecayingQuantile): number {
  const measured = usage.at(HIGH_QUANTILE) * HEADROOM_FACTOR;
  return Math.max(measured, declared * MINIMUM_DECLARED_SHARE);
}

/** Estimates the resource usage and slowdown of tasks by their kind. */
export class UsageModel {
  private readonly kinds = new BoundedMap<KindUsage>(MAXIMUM_KINDS);

  public observe(sample: UsageSample): void {
    const usage = this.kinds.get(sample.taskKind) ?? newKindUsage();
    usage.processors.add(sample.processors);
    usage.memoryGigabytes.add(sample.memoryGigabytes);
    usage.cyclesPerInstruction.add(sample.cyclesPerInstruction);
    this.kinds.set(sample.taskKind, usage);
  }

  /**
   * Resources to assign to a task; the declared ones if samples are too few.
   */
  public resourcesFor(taskKind: string, declared: Resources): Resources {
    const usage = this.kinds.get(taskKind);
    if (usage === undefined || usage.processors.samples < MINIMUM_SAMPLES) {
      return declared;
    }
    return {
      processors: estimate(declared.processors, usage.processors),
      memoryGigabytes: estimate(
        declared.memoryGigabytes,
        usage.memoryGigabytes,
      ),
      accelerators: declared.accelerators,
    };
  }

  /** Relative slowdown of a sample against a low quantile of its kind. */
  public slowdownOf(sample: UsageSample): number | undefined {
    const usage = this.kinds.get(sample.taskKind)?.cyclesPerInstruction;
    if (usage === undefined || usage.samples < MINIMUM_SAMPLES) {
      return undefined;
    }
    const baseline = usage.at(BASELINE_QUANTILE);
    return Math.max(0, sample.cyclesPerInstruction / baseline - 1);
  }
}
