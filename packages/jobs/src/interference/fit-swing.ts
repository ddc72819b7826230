import type { FittedSwing } from './fitted-swing.js';
import type { LoadSample } from './load-sample.js';
import type { SwingPrior } from './swing-prior.js';

/** Standard deviation of a load that is read from an undisturbed tail latency. */
const LOAD_DEVIATION = 0.02;

/** Deviation of a load, as part of the expected slowdown that is subtracted. */
const SLOWDOWN_DEVIATION_FRACTION = 0.6;

/** Interference only raises a load that is read; it weighs less above this. */
const OUTLIER_ABOVE = 0.02;

/** A load that is further below the swing than this weighs less. */
const OUTLIER_BELOW = 0.06;

/** Passes in which loads that contradict the others lose weight. */
const ROBUST_PASSES = 3;

type Triple = readonly [number, number, number];

interface Row {
  readonly factors: Triple;
  readonly load: number;
  readonly weight: number;
}

/**
 * Fits a swing of the given period to the samples of a job, by weighted least
 * squares with a prior. Samples that contradict the others weigh less in further
 * passes (Huber, "Robust estimation of a location parameter", 1964), those above
 * the swing more so.
 */
export function fitSwing(
  samples: readonly LoadSample[],
  unloadedTailLatency: number,
  periodMilliseconds: number,
  prior: SwingPrior,
): FittedSwing {
  const rows = samples.map(sample =>
    rowOf(sample, unloadedTailLatency, periodMilliseconds),
  );
  let fitted = solve(rows, prior);
  const { weight } = fitted;
  for (let pass = 0; pass < ROBUST_PASSES; pass += 1) {
    const previous = fitted;
    fitted = solve(
      rows.map(row => withoutOutlier(row, previous)),
      prior,
    );
  }
  return { ...fitted, weight };
}

function rowOf(
  { at, tailLatency, expectedSlowdown }: LoadSample,
  unloadedTailLatency: number,
  periodMilliseconds: number,
): Row {
  const angle = (2 * Math.PI * at) / periodMilliseconds;
  const added = expectedSlowdown - 1;
  const deviation = LOAD_DEVIATION + SLOWDOWN_DEVIATION_FRACTION * added;
  return {
    factors: [1, Math.cos(angle), Math.sin(angle)],
    load: Math.max(0, 1 / expectedSlowdown - unloadedTailLatency / tailLatency),
    weight: (LOAD_DEVIATION / deviation) ** 2,
  };
}

function withoutOutlier(row: Row, fitted: FittedSwing): Row {
  const deviation = row.load - valueAt(row.factors, fitted);
  const limit = deviation > 0 ? OUTLIER_ABOVE : OUTLIER_BELOW;
  const distance = Math.abs(deviation);
  return distance <= limit
    ? row
    : { ...row, weight: row.weight * (limit / distance) ** 2 };
}

function valueAt([, cosine, sine]: Triple, fitted: FittedSwing): number {
  return fitted.mean + fitted.cosine * cosine + fitted.sine * sine;
}

function solve(rows: readonly Row[], prior: SwingPrior): FittedSwing {
  const meanWeight = (LOAD_DEVIATION / prior.meanDeviation) ** 2;
  const swingWeight = (LOAD_DEVIATION / prior.swingDeviation) ** 2;
  let a = meanWeight;
  let b = 0;
  let c = 0;
  let d = swingWeight;
  let e = 0;
  let f = swingWeight;
  let x = meanWeight * prior.mean;
  let y = swingWeight * prior.cosine;
  let z = swingWeight * prior.sine;
  let sum = 0;
  for (const { factors, load, weight } of rows) {
    const [, cosine, sine] = factors;
    a += weight;
    b += weight * cosine;
    c += weight * sine;
    d += weight * cosine * cosine;
    e += weight * cosine * sine;
    f += weight * sine * sine;
    x += weight * load;
    y += weight * load * cosine;
    z += weight * load * sine;
    sum += weight;
  }
  const covariance = invert([a, b, c, d, e, f]);
  const [aa = 0, ab = 0, ac = 0, , bb = 0, bc = 0, , , cc = 0] = covariance;
  const mean = aa * x + ab * y + ac * z;
  const cosine = ab * x + bb * y + bc * z;
  const sine = ac * x + bc * y + cc * z;
  let cost =
    meanWeight * (mean - prior.mean) ** 2 +
    swingWeight * (cosine - prior.cosine) ** 2 +
    swingWeight * (sine - prior.sine) ** 2;
  for (const { factors, load, weight } of rows) {
    const [, cosineFactor, sineFactor] = factors;
    cost +=
      weight * (load - mean - cosine * cosineFactor - sine * sineFactor) ** 2;
  }
  return { mean, cosine, sine, cost, weight: sum, covariance };
}

/** Inverts a symmetric matrix, given by the rows of its upper triangle. */
function invert(
  upper: readonly [number, number, number, number, number, number],
): readonly number[] {
  const [a, b, c, d, e, f] = upper;
  const first = d * f - e * e;
  const second = c * e - b * f;
  const third = b * e - c * d;
  const determinant = a * first + b * second + c * third;
  return [
    first,
    second,
    third,
    second,
    a * f - c * c,
    b * c - a * e,
    third,
    b * c - a * e,
    a * d - b * b,
  ].map(value => value / determinant);
}

/** Returns the standard deviation of the load that a swing gives for a time. */
export function deviationAt(
  { covariance }: FittedSwing,
  at: number,
  periodMilliseconds: number,
): number {
  const angle = (2 * Math.PI * at) / periodMilliseconds;
  const factors = [1, Math.cos(angle), Math.sin(angle)];
  let variance = 0;
  factors.forEach((factor, row) => {
    factors.forEach((other, column) => {
      variance += factor * other * (covariance[row * 3 + column] ?? 0);
    });
  });
  return LOAD_DEVIATION * Math.sqrt(Math.max(0, variance));
}
