import type { EntryStatistics } from '../entry/entry-statistics.js';
import type { ProcessMetrics } from './process-metrics.js';

const MILLISECONDS_PER_SECOND = 1000;

interface EntryGauge {
  readonly name: string;
  readonly help: string;
  readonly read: (statistics: EntryStatistics) => number;
}

const GAUGES: readonly EntryGauge[] = [
  {
    name: 'leads',
    help: '1 while this entry has the right to decide.',
    read: ({ leads }) => Number(leads),
  },
  {
    name: 'configuration_version',
    help: 'Version of the configuration in force; 0 for none.',
    read: ({ configurationVersion }) => configurationVersion,
  },
  {
    name: 'agents_connected',
    help: 'Agents with an open stream to this leader.',
    read: ({ agents }) => agents,
  },
  {
    name: 'jobs_known',
    help: 'Jobs that this leader knows, ended ones too.',
    read: ({ jobs }) => jobs,
  },
  {
    name: 'jobs_waiting',
    help: 'Jobs of which no task has begun.',
    read: ({ waitingJobs }) => waitingJobs,
  },
  {
    name: 'longest_wait_seconds',
    help: 'Time for which a ready task has waited; 0 up to 2 seconds.',
    read: ({ longestWaitMilliseconds }) =>
      longestWaitMilliseconds / MILLISECONDS_PER_SECOND,
  },
  {
    name: 'store_answer_owed_seconds',
    help: 'Time for which the store has owed an answer to an append.',
    read: ({ pendingAppendMilliseconds }) =>
      pendingAppendMilliseconds / MILLISECONDS_PER_SECOND,
  },
];

/** Registers the state of an entry as gauges of its process. */
export function registerEntryGauges(
  metrics: ProcessMetrics,
  statistics: () => EntryStatistics,
): void {
  for (const { name, help, read } of GAUGES) {
    metrics.addGauge(name, help, () => read(statistics()));
  }
}
