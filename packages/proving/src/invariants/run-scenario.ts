import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';
import { jobTask } from '@basilcourse/shared-state/scheduling/task-names';

import { SimulationRun } from '../simulation/simulation-run.js';
import { applyFault, healAll } from './apply-fault.js';
import { InvariantBrokenError } from './invariant-broken-error.js';
import { invariants } from './invariants.js';
import type { Scenario } from './scenario.js';
import { scenarioNote } from './scenario-note.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Length of the part of a run in which faults are injected. */
const FAULT_PHASE_SECONDS = 62;

/** Time within which all work must finish after the faults have ended. */
const RECOVERY_TIMEOUT_SECONDS = 400;

async function checkInvariants(run: SimulationRun): Promise<void> {
  const fold = await run.readFold().catch(() => undefined);
  if (fold === undefined) {
    return;
  }
  for (const [name, invariant] of Object.entries(invariants)) {
    const reason = invariant(run, fold);
    if (reason !== '') {
      throw new InvariantBrokenError(name, reason, run.timeline());
    }
  }
}

async function unfinishedJobs(run: SimulationRun): Promise<readonly string[]> {
  const { configuration, scheduling } = await run.readFold();
  return [...configuration.jobs.keys()].filter(job => {
    const task = jobTask(job, configuration.jobsSince.get(job) ?? 0);
    return scheduling.tasks.get(task)?.finished !== true;
  });
}

async function missingMinions(run: SimulationRun): Promise<number> {
  const { configuration, scheduling } = await run.readFold();
  let missing = 0;
  for (const service of configuration.services.values()) {
    const assigned = scheduling
      .attemptsOf(`service/${service.name}`)
      .filter(({ state }) => state === 'assigned');
    missing += service.minions - assigned.length;
  }
  return missing;
}

async function awaitRecovery(run: SimulationRun): Promise<void> {
  await healAll(run);
  for (let second = 0; second < RECOVERY_TIMEOUT_SECONDS; second += 1) {
    await run.advance(MILLISECONDS_PER_SECOND);
    await checkInvariants(run);
    const unfinished = await unfinishedJobs(run);
    if (unfinished.length === 0 && (await missingMinions(run)) === 0) {
      return;
    }
  }
  const unfinished = await unfinishedJobs(run);
  const missing = await missingMinions(run);
  throw new InvariantBrokenError(
    'work-finishes',
    `jobs not finished ${RECOVERY_TIMEOUT_SECONDS} s after the faults ended: ${unfinished.join(', ')}; minions missing: ${missing}`,
    run.timeline(),
  );
}

/**
 * Runs a scenario: injects its faults and checks all invariants every second,
 * then ends the faults and waits until all jobs have finished and all minions
 * are assigned.
 *
 * @throws {InvariantBrokenError} When an invariant is violated or work does not
 * finish after the faults.
 */
export async function runScenario(scenario: Scenario): Promise<SimulationRun> {
  const run = new SimulationRun({
    seed: scenario.seed,
    processes: 2,
    workers: scenario.workers,
    workersPerRack: 2,
    zones: ['zone-a', 'zone-b'],
    workerSize: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    behaviour: seededBehaviour(scenario.seed),
    placement: 'least-harm',
    // Only agents raise the share of a throttled task, and the simulation has
    // none.
    throttlesAtStart: false,
    logFaults: {},
  });
  try {
    await run.publish(scenarioNote(scenario.jobs));
    for (let second = 0; second < FAULT_PHASE_SECONDS; second += 1) {
      for (const fault of scenario.faults.filter(({ at }) => at === second)) {
        await applyFault(run, fault);
      }
      await run.advance(MILLISECONDS_PER_SECOND);
      await checkInvariants(run);
    }
    await awaitRecovery(run);
    return run;
  } finally {
    await run.end();
  }
}
