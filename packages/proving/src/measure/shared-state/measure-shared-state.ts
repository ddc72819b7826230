import { markdownTable } from '../markdown-table.js';
import type { Measurement } from '../measurement.js';
import { measureFleet } from './measure-fleet.js';
import { measureFold } from './measure-fold.js';

const TARGET_SHARES = [0.01, 0.1, 1];

const AGENTS = 100;

/** Measures the fold, snapshots, release note distribution and takeovers. */
export const measureSharedState: Measurement = async print => {
  // Warm-up run, whose result is discarded.
  measureFold(0.1);
  const metrics = TARGET_SHARES.map(measureFold);
  print(
    markdownTable([
      [
        'share of target',
        'workers',
        'tasks',
        'records',
        'records/s folded',
        'placements/s folded',
        'heap MB',
        'bytes a task in a snapshot',
        'snapshot KB',
        'write ms',
        'read ms',
      ],
      ...metrics.map(metric => [
        String(metric.share),
        String(metric.workers),
        String(metric.tasks),
        String(metric.records),
        metric.recordsPerSecond.toFixed(0),
        metric.decisionsPerSecond.toFixed(0),
        metric.heapMegabytes.toFixed(1),
        (metric.snapshotBytes / metric.tasks).toFixed(0),
        (metric.snapshotBytes / 1024).toFixed(0),
        metric.writeMilliseconds.toFixed(1),
        metric.readMilliseconds.toFixed(1),
      ]),
    ]),
  );
  print('');
  const fleet = await measureFleet(AGENTS);
  print(
    markdownTable([
      ['figure', 'measured', 'target'],
      [
        'nodes',
        `${fleet.agents} agents, ${fleet.entries} entries, one process`,
        '',
      ],
      [
        'publish to in force everywhere, median ms',
        fleet.inForceMedianMilliseconds.toFixed(0),
        '',
      ],
      [
        'publish to in force everywhere, longest ms',
        fleet.inForceMaximumMilliseconds.toFixed(0),
        '11000',
      ],
      [
        'bytes/s an agent, idle, both ways',
        fleet.idleBytesPerSecondPerAgent.toFixed(0),
        '25600',
      ],
      [
        'processor share a node, idle',
        fleet.idleProcessorSharePerNode.toFixed(4),
        '0.027',
      ],
      ['appends/s, idle', fleet.appendsPerSecondIdle.toFixed(1), ''],
      [
        'takeover after a killed holder, ms',
        fleet.takeoverMilliseconds.toFixed(0),
        '5500 with the start',
      ],
    ]),
  );
};
