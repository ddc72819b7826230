/** Sizes of one reference deployment. */
export interface DeploymentSizes {
  readonly name: string;
  readonly workers: number;
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly latencyWeight: number;
}

/** The two reference deployments. */
export const DEPLOYMENTS: readonly DeploymentSizes[] = [
  {
    name: 'Jadranski Trag',
    workers: 11,
    processors: 16,
    memoryGigabytes: 62,
    latencyWeight: 0.9,
  },
  {
    name: 'Tidewrack',
    workers: 11,
    processors: 64,
    memoryGigabytes: 250,
    latencyWeight: 0.2,
  },
];

/** Task kinds of the batch jobs; the interference differs for each pair. */
export const JOB_KINDS = ['reconcile', 'history', 'feed', 'grade'] as const;

/**
 * Number of batch jobs: between three and four for each quarter of a worker
 * that the service leaves free.
 */
export const JOBS = 120;

/**
 * Release note of one deployment: the service uses a quarter of the processors
 * of each worker, and batch jobs use the rest.
 */
export function colocationNote(sizes: DeploymentSizes): string {
  const processors = sizes.processors / 4;
  const memory = sizes.memoryGigabytes / 5;
  const jobs = Array.from(
    { length: JOBS },
    (_, index) => `
[job job-${index}]
team = offices
task-kind = ${JOB_KINDS[index % JOB_KINDS.length] ?? 'feed'}
processors = ${processors}
memory-gigabytes = ${memory}
declared-seconds = ${40 + (index % 5) * 20}
`,
  );
  return `
[note]
name = colocation
operator = measure
based-on = 0

[limits]
latency-weight = ${sizes.latencyWeight}

[team docks]
processors = 100000
memory-gigabytes = 100000

[team offices]
processors = 100000
memory-gigabytes = 100000

[service labels]
team = docks
task-kind = label
minions = ${sizes.workers}
processors = ${processors}
memory-gigabytes = ${memory}
target-milliseconds = 110
${jobs.join('')}`;
}

/** Release note with one urgent job. */
export function urgentNote(
  sizes: DeploymentSizes,
  number: number,
  basedOn: number,
): string {
  return `
[note]
name = urgent-${number}
operator = measure
based-on = ${basedOn}

[job urgent-${number}]
team = offices
task-kind = grade
processors = ${sizes.processors / 4}
memory-gigabytes = ${sizes.memoryGigabytes / 5}
declared-seconds = 10
urgent = true
`;
}
