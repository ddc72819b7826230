import type { SimulatedProcess } from '../simulation/simulated-process.js';
import type { SimulationRun } from '../simulation/simulation-run.js';
import type { Fault, FaultKind } from './fault.js';
import { noteHeader } from './scenario-note.js';

/** Injects one fault; `target` selects the worker or process. */
type FaultHandler = (
  run: SimulationRun,
  target: number,
) => Promise<void> | void;

const MAXIMUM_PROCESSES = 4;

/** Share of calls that are rejected, and of those whose response is lost. */
const FAILED_CALL_SHARE = 0.3;

function workerIndex(run: SimulationRun, target: number): number {
  return target % run.workers.length;
}

function aliveProcessAt(
  run: SimulationRun,
  target: number,
): SimulatedProcess | undefined {
  const alive = run.processes.filter(({ isAlive }) => isAlive);
  return alive[target % Math.max(1, alive.length)];
}

async function publishNote(
  run: SimulationRun,
  name: string,
  body: (revision: number) => string,
): Promise<void> {
  try {
    const fold = await run.readFold();
    const { revision } = fold.configuration;
    await run.publish(`${noteHeader(name, revision)}${body(revision)}`);
  } catch {
    // The log is unavailable, so the operator cannot publish the note.
  }
}

async function cancelHalfOfJobs(run: SimulationRun): Promise<void> {
  await publishNote(run, 'cancel', () => '');
  const fold = await run.readFold().catch(() => undefined);
  const jobs = [...(fold?.configuration.jobs.keys() ?? [])];
  const half = jobs.slice(0, Math.ceil(jobs.length / 2));
  await publishNote(run, 'cancel-half', () =>
    half.map(job => `\n[withdraw-job ${job}]\n`).join(''),
  );
}

const handlers: Readonly<Record<FaultKind, FaultHandler>> = {
  'kill-worker': (run, target) => {
    run.killWorker(workerIndex(run, target));
  },
  'replace-worker': (run, target) => {
    run.replaceWorker(workerIndex(run, target));
  },
  'cut-worker': (run, target) => {
    run.workers[workerIndex(run, target)]?.setFaults({ unreachable: true });
  },
  'heal-worker': (run, target) => {
    run.replaceWorker(workerIndex(run, target));
  },
  'lose-worker-answers': (run, target) => {
    const worker = run.workers[workerIndex(run, target)];
    worker?.setFaults({ lostAnswerShare: FAILED_CALL_SHARE });
  },
  'break-worker': (run, target) => {
    const worker = run.workers[workerIndex(run, target)];
    worker?.setFaults({ failEveryStart: true });
  },
  'kill-process': async (run, target) => {
    await aliveProcessAt(run, target)?.kill();
  },
  'add-process': run => {
    const alive = run.processes.filter(({ isAlive }) => isAlive);
    if (alive.length < MAXIMUM_PROCESSES) {
      run.addProcess();
    }
  },
  'pause-process': (run, target) => {
    aliveProcessAt(run, target)?.pause();
  },
  'resume-process': (run, target) => {
    aliveProcessAt(run, target)?.resume();
  },
  'cut-process-from-log': (run, target) => {
    aliveProcessAt(run, target)?.setCutOffFromLog(true);
  },
  'heal-process': (run, target) => {
    aliveProcessAt(run, target)?.setCutOffFromLog(false);
    aliveProcessAt(run, target)?.setUnreachableWorkers(new Set());
  },
  'cut-process-from-workers': (run, target) => {
    const names = run.workers.map(({ name }) => name);
    const unreachable = names.filter((_, index) => index % 2 === target % 2);
    aliveProcessAt(run, target)?.setUnreachableWorkers(new Set(unreachable));
  },
  'log-down': run => {
    run.log.setFaults({ down: true });
  },
  'log-up': run => {
    run.log.setFaults({ down: false });
  },
  'lose-log-answers': run => {
    run.log.setFaults({
      lostAnswerShare: FAILED_CALL_SHARE,
      refusedShare: FAILED_CALL_SHARE,
    });
  },
  'cancel-jobs': cancelHalfOfJobs,
  'add-urgent-job': (run, target) =>
    publishNote(
      run,
      `urgent-${target}`,
      revision => `
[job urgent-${target}-${revision}]
team = batch
task-kind = urgent
processors = 8
memory-gigabytes = 16
declared-seconds = 5
urgent = true
`,
    ),
  'conflicting-notes': async run => {
    const limits =
      '\n[limits]\nlatency-weight = 0.6\ntask-lease-seconds = 5\nstore-outage-seconds = 40\n';
    const fold = await run.readFold().catch(() => undefined);
    const revision = fold?.configuration.revision ?? 0;
    for (const name of ['one', 'two', 'three', 'four', 'five']) {
      await run
        .publish(`${noteHeader(name, revision)}${limits}`)
        .catch(() => undefined);
    }
  },
  'drain-worker': (run, target) => {
    const { name } = run.workers[workerIndex(run, target)] ?? { name: '' };
    return publishNote(run, `drain-${target}`, () => `\n[drain ${name}]\n`);
  },
  'restore-worker': (run, target) => {
    const { name } = run.workers[workerIndex(run, target)] ?? { name: '' };
    return publishNote(run, `restore-${target}`, () => `\n[restore ${name}]\n`);
  },
};

/** Injects one fault into a simulation run. */
export async function applyFault(
  run: SimulationRun,
  fault: Fault,
): Promise<void> {
  await handlers[fault.kind](run, fault.target);
}

/** Ends all faults, so that the remaining work can finish. */
export async function healAll(run: SimulationRun): Promise<void> {
  run.log.setFaults({ down: false, lostAnswerShare: 0, refusedShare: 0 });
  for (const [index, worker] of run.workers.entries()) {
    worker.setFaults({ failEveryStart: false, lostAnswerShare: 0 });
    run.replaceWorker(index);
  }
  for (const process of run.processes) {
    process.setCutOffFromLog(false);
    process.setUnreachableWorkers(new Set());
    process.resume();
  }
  if (!run.processes.some(({ isAlive }) => isAlive)) {
    run.addProcess();
  }
  await publishNote(run, 'restore-all', () =>
    run.workers.map(({ name }) => `\n[restore ${name}]\n`).join(''),
  );
}
