/** Design target: fleet sizes, rates, time limits and limits per node. */
export const TARGET = {
  workers: 1100,
  accelerators: 2300,
  jobsPerDay: 16_000,
  startsPerSecond: 210,
  serviceTasks: 7100,
  batchTasks: 8200,
  teams: 79,
  regions: 3,
  zones: 7,
  changesPerDay: 1400,
  inForceSeconds: 11,
  urgentStartSeconds: 5.5,
  nodeProcessorShare: 0.027,
  nodeMegabytes: 128,
  nodeKilobytesPerSecond: 25,
} as const;
