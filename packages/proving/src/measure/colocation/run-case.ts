import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';
import type { TaskBehaviour } from '@basilcourse/platform-stand-in/worker/task-behaviour';
import type { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';

import { SimulationRun } from '../../simulation/simulation-run.js';
import { percentile } from '../percentile.js';
import type { ColocationCase } from './colocation-case.js';
import type { ColocationMetrics } from './colocation-metrics.js';
import type { DeploymentSizes } from './colocation-note.js';
import { colocationNote, JOB_KINDS, urgentNote } from './colocation-note.js';
import { RunSamples } from './run-samples.js';
import { ThrottleLoop } from './throttle-loop.js';

const RUN_SECONDS = 240;

const WARM_UP_SECONDS = 30;

const URGENT_JOB_INTERVAL_SECONDS = 30;

const TRAINING_ROUNDS = 60;

function trainEstimator(
  estimator: WorkloadEstimator,
  behaviour: TaskBehaviour,
): void {
  const kinds = ['label', ...JOB_KINDS];
  for (let round = 0; round < TRAINING_ROUNDS; round += 1) {
    for (const affectedKind of kinds) {
      for (const neighbourKind of kinds) {
        const interference = behaviour.interference(
          affectedKind,
          neighbourKind,
        );
        const neighbours = [{ taskKind: neighbourKind, share: 1 }];
        estimator.interference.observe(affectedKind, neighbours, interference);
      }
    }
  }
}

async function urgentStartDelays(
  run: SimulationRun,
  publishedAtByJob: ReadonlyMap<string, number>,
): Promise<readonly number[]> {
  const fold = await run.readFold();
  const delays: number[] = [];
  for (const [job, publishedAt] of publishedAtByJob) {
    const since = fold.configuration.jobsSince.get(job) ?? 0;
    const task = `job/${job}@${since}#1`;
    const startedAt = run.startedAt(task);
    delays.push(((startedAt ?? run.clock.now()) - publishedAt) / 1000);
  }
  return delays;
}

/** Runs one case with the given deployment sizes and seed. */
export async function runCase(
  colocationCase: ColocationCase,
  sizes: DeploymentSizes,
  seed: number,
): Promise<ColocationMetrics> {
  const behaviour = seededBehaviour(seed);
  const run = new SimulationRun({
    seed,
    processes: 1,
    workers: sizes.workers,
    workersPerRack: 3,
    zones: ['zone-1', 'zone-2', 'zone-3'],
    workerSize: {
      processors: sizes.processors,
      memoryGigabytes: sizes.memoryGigabytes,
      accelerators: 0,
    },
    behaviour,
    placement: colocationCase.placement,
    throttlesAtStart: colocationCase.throttles,
    logFaults: {},
  });
  if (colocationCase.oracle) {
    for (const process of run.processes) {
      trainEstimator(process.scheduler.estimator, behaviour);
    }
  }
  const samples = new RunSamples();
  const throttleLoop = new ThrottleLoop(sizes.latencyWeight);
  const publishedAtByJob = new Map<string, number>();
  await run.publish(colocationNote(sizes));
  for (let second = 0; second < RUN_SECONDS; second += 1) {
    if (second > 0 && second % URGENT_JOB_INTERVAL_SECONDS === 0) {
      const { revision } = (await run.readFold()).configuration;
      await run.publish(urgentNote(sizes, second, revision));
      publishedAtByJob.set(`urgent-${second}`, run.clock.now());
    }
    await run.advance(1000);
    for (const worker of run.workers) {
      if (colocationCase.throttles) {
        await throttleLoop.step(worker);
      }
      samples.sample(worker, second >= WARM_UP_SECONDS);
    }
  }
  const fold = await run.readFold();
  const tasks = [...fold.scheduling.tasks.values()];
  const evictions = tasks.reduce((sum, task) => sum + task.evictions, 0);
  const finishedJobs = tasks.filter(({ finished }) => finished).length;
  const urgentStartSeconds = await urgentStartDelays(run, publishedAtByJob);
  await run.end();
  const { slowdowns, batchSeconds } = samples;
  const slowdownSum = slowdowns.reduce((sum, slowdown) => sum + slowdown, 0);
  return {
    serviceSlowdownPercentile: percentile(slowdowns, 0.99),
    serviceMeanSlowdown: slowdownSum / Math.max(1, slowdowns.length),
    batchSeconds,
    finishedJobs,
    evictions,
    lostShare: samples.lostSeconds() / Math.max(1, batchSeconds),
    urgentStartSeconds,
    violations: run.recorder.violationCount,
  };
}
