import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { JobSimulation } from '../support/job-simulation.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import type { SimulatedVm } from '../support/simulated-vm.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

const JOBS = 10;

const FAULT_PHASE_MILLISECONDS = 7000;

/** Longer than each wait for runs that nobody can see. */
const FINISH_TIMEOUT_MILLISECONDS = 30_000;

type Fault = (simulation: JobSimulation, vm: SimulatedVm) => void;

/** Starts again under the same identifier; a heartbeat tells of it later. */
function restart(simulation: JobSimulation, vm: SimulatedVm): void {
  vm.minion.restartUnderSameIdentifier();
  setTimeout(() => {
    vm.driver?.updateMinion(vm.minion.self);
  }, simulation.random.next() * 1000);
}

const FAULTS: readonly Fault[] = [
  restart,
  restart,
  (simulation, vm) => {
    restart(simulation, vm);
    vm.minion.path.cut(simulation.random.next() * 3000);
  },
  (simulation, vm) => {
    vm.minion.path.cut(simulation.random.next() * 1500);
  },
  (simulation, vm) => {
    restart(simulation, vm);
    vm.minion.extendLeaseByLateCall();
    simulation.disconnectAgent(vm, simulation.random.next() * 3000);
  },
  simulation => {
    simulation.changeLeader();
  },
  (simulation, vm) => {
    simulation.restartAgent(vm);
  },
  (simulation, vm) => {
    simulation.disconnectAgent(vm, simulation.random.next() * 2500);
  },
];

async function injectFault(simulation: JobSimulation): Promise<void> {
  const { random, vms } = simulation;
  await pause(200 + random.next() * 500);
  const fault = FAULTS[Math.floor(random.next() * FAULTS.length)];
  const vm = vms[Math.floor(random.next() * vms.length)];
  if (fault !== undefined && vm !== undefined) {
    fault(simulation, vm);
  }
}

async function isCompleted(
  simulation: JobSimulation,
  identifier: string,
): Promise<boolean> {
  const call = { kind: 'status', identifier, queue: 'queue' } as const;
  const answer = await simulation.callLeader(call);
  return answer.kind === 'status' && answer.status === 'completed';
}

interface Outcome {
  readonly violations: readonly string[];
  readonly open: readonly string[];
  readonly startsOfNextLives: number;
}

/** Plays jobs among minions that start again under their old identifiers. */
async function play(seed: number): Promise<Outcome> {
  const simulation = new JobSimulation(seed, 4);
  simulation.workMilliseconds = 600;
  const jobs = Array.from({ length: JOBS }, (_, number) => `job-${number}`);
  const submitted = jobs.map(async (job, index) => {
    await pause(index * 600);
    const step = makeStep(4, 500);
    await simulation.submit(
      makeSpecification(job, [step, { ...step, after: [0] }]),
    );
  });
  const until = performance.now() + FAULT_PHASE_MILLISECONDS;
  while (performance.now() < until) {
    await injectFault(simulation);
  }
  await Promise.all(submitted);
  const finishBy = performance.now() + FINISH_TIMEOUT_MILLISECONDS;
  let open: readonly string[] = jobs;
  while (open.length > 0 && performance.now() < finishBy) {
    await pause(100);
    const states = await Promise.all(
      open.map(job => isCompleted(simulation, job)),
    );
    open = open.filter((_, index) => states[index] === false);
  }
  simulation.close();
  const { violations } = simulation.runChecker;
  const startsOfNextLives = simulation.vms.reduce(
    (sum, { minion }) => sum + minion.startsOfNextLife,
    0,
  );
  return { violations, open, startsOfNextLives };
}

const outcomes = SEEDS.map(seed => [seed, play(seed)] as const);

for (const [seed, outcome] of outcomes) {
  t.test(
    `lives that share an identifier run each task once: seed ${seed}`,
    async t => {
      const { violations, open, startsOfNextLives } = await outcome;
      t.same(violations, []);
      t.same(open, [], 'every job was completed');
      t.ok(startsOfNextLives > 0, `${startsOfNextLives} runs on next lives`);
    },
  );
}
