import { markdownTable } from '../markdown-table.js';
import type { Measurement } from '../measurement.js';
import { percentile } from '../percentile.js';
import type { ColocationCase } from './colocation-case.js';
import type { ColocationMetrics } from './colocation-metrics.js';
import { DEPLOYMENTS } from './colocation-note.js';
import { measureDecisionCost } from './measure-decision-cost.js';
import { runCase } from './run-case.js';

const SEEDS = [11, 12];

const cases: readonly ColocationCase[] = [
  { name: 'oracle', placement: 'least-harm', oracle: true, throttles: true },
  { name: 'ours', placement: 'least-harm', oracle: false, throttles: true },
  {
    name: 'ours without throttling',
    placement: 'least-harm',
    oracle: false,
    throttles: false,
  },
  {
    name: 'first fit',
    placement: 'first-fit',
    oracle: false,
    throttles: false,
  },
  {
    name: 'least assigned',
    placement: 'least-assigned',
    oracle: false,
    throttles: false,
  },
  { name: 'separate', placement: 'separate', oracle: false, throttles: false },
];

const DECISION_COST_WORKERS = [11, 40, 110, 1100];

function sum(
  metrics: readonly ColocationMetrics[],
  read: (result: ColocationMetrics) => number,
): number {
  return metrics.reduce((total, result) => total + read(result), 0);
}

function rowOf(
  deployment: string,
  name: string,
  metrics: readonly ColocationMetrics[],
  oracleSeconds: number,
): readonly string[] {
  const seconds = sum(metrics, result => result.batchSeconds);
  const finished = sum(metrics, result => result.finishedJobs);
  const urgent = metrics.flatMap(result => result.urgentStartSeconds);
  const mean = (read: (result: ColocationMetrics) => number): number =>
    sum(metrics, read) / metrics.length;
  return [
    deployment,
    name,
    mean(result => result.serviceSlowdownPercentile).toFixed(2),
    mean(result => result.serviceMeanSlowdown).toFixed(3),
    `${((seconds / oracleSeconds) * 100).toFixed(0)} %`,
    String(finished),
    (sum(metrics, result => result.evictions) / Math.max(1, finished)).toFixed(
      3,
    ),
    `${(mean(result => result.lostShare) * 100).toFixed(1)} %`,
    percentile(urgent, 0.99).toFixed(2),
    String(sum(metrics, result => result.violations)),
  ];
}

/** Compares the policies for placement and throttling with baselines. */
export const measureColocation: Measurement = async print => {
  const rows = [];
  for (const sizes of DEPLOYMENTS) {
    let oracleSeconds = 1;
    for (const colocationCase of cases) {
      const metrics = [];
      for (const seed of SEEDS) {
        metrics.push(await runCase(colocationCase, sizes, seed));
      }
      if (colocationCase.oracle) {
        oracleSeconds = sum(metrics, result => result.batchSeconds);
      }
      rows.push(rowOf(sizes.name, colocationCase.name, metrics, oracleSeconds));
    }
  }
  print(`seeds ${SEEDS.join(', ')}; slowdown 1 is as fast as alone`);
  print(
    markdownTable([
      [
        'deployment',
        'policy',
        'service p99 slowdown',
        'mean slowdown',
        'batch work against the oracle',
        'jobs finished',
        'evictions a finished job',
        'lost work',
        'urgent start p99 s',
        'violations',
      ],
      ...rows,
    ]),
  );
  print('');
  const costs = DECISION_COST_WORKERS.map(measureDecisionCost);
  print(
    markdownTable([
      [
        'workers in the cell',
        'µs a placement',
        'µs an idle pass',
        'placements/s on a whole core',
      ],
      ...costs.map(cost => [
        String(cost.workers),
        cost.microsecondsPerPlacement.toFixed(0),
        cost.microsecondsPerIdlePass.toFixed(0),
        (1_000_000 / cost.microsecondsPerPlacement).toFixed(0),
      ]),
    ]),
  );
};
