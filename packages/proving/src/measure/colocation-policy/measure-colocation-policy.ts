import { markdownTable } from '../markdown-table.js';
import type { Measurement } from '../measurement.js';
import { playPolicy } from './play-policy.js';
import type { Policy } from './policy.js';
import { POLICIES } from './policy.js';
import type { PolicyFigures } from './policy-figures.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const SECONDS = 60;

const HEADER = [
  'policy',
  'serving seconds over the bound',
  'batch jobs in aim',
  'completed',
  'throttles',
  'moves',
];

/** Compares ways of running batch work beside serving work on the same loads. */
export const measureColocationPolicy: Measurement = async print => {
  const rows: (readonly string[])[] = [HEADER];
  const seeds = process.argv[3]?.split(',').map(Number) ?? SEEDS;
  for (const policy of POLICIES) {
    const plays: PolicyFigures[] = [];
    for (const seed of seeds) {
      plays.push(await playPolicy(policy, seed, SECONDS));
    }
    rows.push(rowOf(policy, plays));
  }
  print(markdownTable(rows));
};

function rowOf(
  { name }: Policy,
  plays: readonly PolicyFigures[],
): readonly string[] {
  const sum = (read: (figures: PolicyFigures) => number): number =>
    plays.reduce((total, figures) => total + read(figures), 0);
  const jobs = sum(({ batchJobs }) => batchJobs);
  return [
    name,
    sum(({ violatedSeconds }) => violatedSeconds).toFixed(0),
    `${sum(({ inAim }) => inAim)} of ${jobs}`,
    String(sum(({ completed }) => completed)),
    String(sum(({ throttles }) => throttles)),
    String(sum(({ moves }) => moves)),
  ];
}
