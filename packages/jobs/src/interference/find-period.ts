import { fitSwing } from './fit-swing.js';
import type { JobLoads } from './job-loads.js';
import type { SwingPrior } from './swing-prior.js';

const SHORTEST_PERIOD_MILLISECONDS = 6000;

const LONGEST_PERIOD_MILLISECONDS = 45_000;

/** Ratio of a period that is tried to the one before it. */
const PERIOD_RATIO = 1.07;

/** Halvings of the step around the best of these periods. */
const REFINEMENTS = 5;

/** Jobs looked at, to bound the processor time of a step. */
const MAXIMUM_JOBS = 6;

const MINIMUM_SAMPLES = 8;

/** Weight of all samples below which no period is looked for. */
const MINIMUM_WEIGHT = 30;

/** Deviation of the loads from the swing up to which the swing is believed. */
const MAXIMUM_DEVIATION = 0.045;

/** Logarithm of how much likelier the swing has to be than a steady load. */
const MINIMUM_EVIDENCE = 25;

/** A known period is kept unless another one explains this much more. */
const KNOWN_PERIOD_ADVANTAGE = 1.3;

interface Candidate {
  readonly period: number;
  readonly cost: number;
}

/**
 * Finds the period with which the loads of several jobs swing, each at a phase
 * and with an amplitude of its own; `undefined` if the loads do not swing or too
 * little is known. A known period is refined, and replaced by a much better one
 * only. Meant for jobs whose users follow one rhythm.
 *
 * Each step of the generator tries one period, so that a process with little
 * processor time does other work between them.
 */
export function* findPeriod(
  jobs: readonly JobLoads[],
  prior: SwingPrior,
  knownPeriod?: number,
): Generator<undefined, number | undefined> {
  const chosen = [...jobs]
    .filter(({ samples }) => samples.length >= MINIMUM_SAMPLES)
    .sort((first, second) => second.samples.length - first.samples.length)
    .slice(0, MAXIMUM_JOBS);
  const flat = explain(chosen, Number.POSITIVE_INFINITY, prior);
  if (flat.weight < MINIMUM_WEIGHT) {
    return undefined;
  }
  const costOf = (period: number): number =>
    explain(chosen, period, prior).cost;
  const best = yield* refine(yield* bestOfGrid(costOf), costOf);
  if (knownPeriod !== undefined) {
    const known = yield* refine(
      { period: knownPeriod, cost: costOf(knownPeriod) },
      costOf,
    );
    if (known.cost <= best.cost * KNOWN_PERIOD_ADVANTAGE) {
      return known.period;
    }
  }
  const evidence = (flat.weight / 2) * Math.log(flat.cost / best.cost);
  const deviation = Math.sqrt(best.cost / flat.weight);
  return evidence >= MINIMUM_EVIDENCE && deviation <= MAXIMUM_DEVIATION
    ? best.period
    : undefined;
}

function explain(
  jobs: readonly JobLoads[],
  period: number,
  prior: SwingPrior,
): { readonly cost: number; readonly weight: number } {
  let cost = 0;
  let weight = 0;
  for (const { samples, unloadedTailLatency } of jobs) {
    const fitted = fitSwing(samples, unloadedTailLatency, period, prior);
    cost += fitted.cost;
    weight += fitted.weight;
  }
  return { cost, weight };
}

function* bestOfGrid(
  costOf: (period: number) => number,
): Generator<undefined, Candidate> {
  let best = { period: 0, cost: Number.POSITIVE_INFINITY };
  for (
    let period = SHORTEST_PERIOD_MILLISECONDS;
    period <= LONGEST_PERIOD_MILLISECONDS;
    period *= PERIOD_RATIO
  ) {
    const cost = costOf(period);
    best = cost < best.cost ? { period, cost } : best;
    yield;
  }
  return best;
}

function* refine(
  start: Candidate,
  costOf: (period: number) => number,
): Generator<undefined, Candidate> {
  let best = start;
  let ratio = Math.sqrt(PERIOD_RATIO);
  for (let step = 0; step < REFINEMENTS; step += 1) {
    for (const period of [best.period / ratio, best.period * ratio]) {
      const cost = costOf(period);
      best = cost < best.cost ? { period, cost } : best;
      yield;
    }
    ratio = Math.sqrt(ratio);
  }
  return best;
}
