import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';
import type { TaskBehaviour } from '@basilcourse/platform-stand-in/worker/task-behaviour';
import type { WorkloadEstimator } from '@basilcourse/scheduler/learning/workload-estimator';

import { SteppedRun } from '../../stepped/stepped-run.js';
import { percentile } from '../percentile.js';
import type { ColocationCase } from './colocation-case.js';
import type { ColocationFigures } from './colocation-figures.js';
import type { DeploymentSizes } from './colocation-note.js';
import { colocationNote, JOB_KINDS, urgentNote } from './colocation-note.js';
import { RunSamples } from './run-samples.js';
import { ThrottleLoop } from './throttle-loop.js';

const RUN_SECONDS = 240;

const WARM_UP_SECONDS = 30;

const URGENT_EVERY_SECONDS = 30;

const TEACHING_ROUNDS = 60;

function teach(learner: WorkloadEstimator, behaviour: TaskBehaviour): void {
  const kinds = ['label', ...JOB_KINDS];
  for (let round = 0; round < TEACHING_ROUNDS; round += 1) {
    for (const sufferer of kinds) {
      for (const neighbour of kinds) {
        const harm = behaviour.interference(sufferer, neighbour);
        const beside = [{ taskKind: neighbour, share: 1 }];
        learner.interference.observe(sufferer, beside, harm);
      }
    }
  }
}

async function urgentStarts(
  run: SteppedRun,
  published: ReadonlyMap<string, number>,
): Promise<readonly number[]> {
  const fold = await run.readFold();
  const starts: number[] = [];
  for (const [job, at] of published) {
    const since = fold.configuration.jobsSince.get(job) ?? 0;
    const task = `job/${job}@${since}#1`;
    const startedAt = run.startedAt(task);
    starts.push(((startedAt ?? run.clock.now()) - at) / 1000);
  }
  return starts;
}

/** Runs one case on one deployment with one seed. */
export async function runCase(
  one: ColocationCase,
  sizes: DeploymentSizes,
  seed: number,
): Promise<ColocationFigures> {
  const behaviour = seededBehaviour(seed);
  const run = new SteppedRun({
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
    placement: one.placement,
    throttlesStarts: one.throttles,
    logFaults: {},
  });
  if (one.oracle) {
    for (const process of run.processes) {
      teach(process.holder.estimator, behaviour);
    }
  }
  const samples = new RunSamples();
  const throttle = new ThrottleLoop(sizes.latencyWeight);
  const published = new Map<string, number>();
  await run.publish(colocationNote(sizes));
  for (let second = 0; second < RUN_SECONDS; second += 1) {
    if (second > 0 && second % URGENT_EVERY_SECONDS === 0) {
      const { revision } = (await run.readFold()).configuration;
      await run.publish(urgentNote(sizes, second, revision));
      published.set(`urgent-${second}`, run.clock.now());
    }
    await run.advance(1000);
    for (const worker of run.workers) {
      if (one.throttles) {
        await throttle.step(worker);
      }
      samples.take(worker, second >= WARM_UP_SECONDS);
    }
  }
  const fold = await run.readFold();
  const tasks = [...fold.scheduling.tasks.values()];
  const evictions = tasks.reduce((sum, task) => sum + task.evictions, 0);
  const finishedJobs = tasks.filter(({ finished }) => finished).length;
  const urgentStartSeconds = await urgentStarts(run, published);
  await run.end();
  const { slowdowns, batchSeconds } = samples;
  const total = slowdowns.reduce((sum, slowdown) => sum + slowdown, 0);
  return {
    serviceHighPercentile: percentile(slowdowns, 0.99),
    serviceMean: total / Math.max(1, slowdowns.length),
    batchSeconds,
    finishedJobs,
    evictions,
    lostShare: samples.lostSeconds() / Math.max(1, batchSeconds),
    urgentStartSeconds,
    violations: run.witness.violationCount,
  };
}
