import type { EntryFigures } from '../entry/entry-figures.js';
import type { ProcessMetrics } from './process-metrics.js';

const MILLISECONDS_PER_SECOND = 1000;

interface WatchedFigure {
  readonly name: string;
  readonly help: string;
  readonly read: (figures: EntryFigures) => number;
}

const FIGURES: readonly WatchedFigure[] = [
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
    name: 'store_answer_owed_seconds',
    help: 'Time for which the store has owed an answer to an append.',
    read: ({ pendingAppendMilliseconds }) =>
      pendingAppendMilliseconds / MILLISECONDS_PER_SECOND,
  },
];

/** Shows what an entry believes among the metrics of its process. */
export function watchFigures(
  metrics: ProcessMetrics,
  figures: () => EntryFigures,
): void {
  for (const { name, help, read } of FIGURES) {
    metrics.watch(name, help, () => read(figures()));
  }
}
