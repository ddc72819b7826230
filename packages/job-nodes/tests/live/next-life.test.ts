import type { Test } from 'tap';
import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { JobSimulation } from '../support/job-simulation.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import type { SimulatedVm } from '../support/simulated-vm.js';

/** Runs of this length outlast each wait of a leader or an agent. */
const WORK_MILLISECONDS = 8000;

const TASK_MILLICORES = 200;

/** Heartbeats of the next life arrive after this time. */
const HEARTBEAT_DELAY_MILLISECONDS = 400;

const CUT_MILLISECONDS = 12_000;

/** Time in which tasks that were given away have been started elsewhere. */
const WATCH_MILLISECONDS = 9000;

t.jobs = 6;

const CONCURRENT = { buffered: true };

interface Scene {
  readonly simulation: JobSimulation;
  readonly vm: SimulatedVm;
}

/** Opens three VMs; the minion of the first one will start again. */
async function openScene(t: Test): Promise<Scene> {
  const simulation = new JobSimulation(1, 3);
  simulation.workMilliseconds = WORK_MILLISECONDS;
  t.teardown(() => {
    simulation.close();
  });
  const [vm] = simulation.vms;
  if (vm === undefined) {
    throw new Error('the simulation has no VM');
  }
  await pause(600);
  return { simulation, vm };
}

/** The minion starts again, and is sent starts that were meant for its last life. */
async function restartAsJobArrives({ simulation, vm }: Scene): Promise<void> {
  vm.minion.restartUnderSameIdentifier();
  const step = makeStep(24, TASK_MILLICORES);
  await simulation.submit(makeSpecification('job', [step]));
  await pause(60);
}

function checkRuns(t: Test, { simulation, vm }: Scene): void {
  const { runChecker } = simulation;
  t.same(runChecker.violations, [], 'no task ran twice');
  t.ok(
    vm.minion.startsOfNextLife > 0,
    `${vm.minion.startsOfNextLife} runs began on the next life`,
  );
}

// Guards against tasks given away as the next life is met, which runs them.
t.test(
  'no task runs twice once the next life has answered',
  CONCURRENT,
  async t => {
    const scene = await openScene(t);
    await restartAsJobArrives(scene);
    await pause(HEARTBEAT_DELAY_MILLISECONDS);
    scene.vm.driver?.updateMinion(scene.vm.minion.self);
    await pause(WATCH_MILLISECONDS);
    checkRuns(t, scene);
  },
);

// Guards against tasks given away before the lease of a life nobody met is over.
t.test(
  'no task runs twice while the next life is cut off',
  CONCURRENT,
  async t => {
    const scene = await openScene(t);
    await restartAsJobArrives(scene);
    scene.vm.minion.path.cut(CUT_MILLISECONDS);
    await pause(WATCH_MILLISECONDS);
    checkRuns(t, scene);
  },
);

// Guards against a later leader that reckons with a lease of the former life.
t.test(
  'no task runs twice as the leader changes meanwhile',
  CONCURRENT,
  async t => {
    const scene = await openScene(t);
    await restartAsJobArrives(scene);
    scene.simulation.changeLeader();
    scene.vm.minion.path.cut(CUT_MILLISECONDS);
    scene.simulation.disconnectAgent(scene.vm, CUT_MILLISECONDS);
    await pause(WATCH_MILLISECONDS);
    checkRuns(t, scene);
  },
);

// Guards against an agent that does not know what the one before it has sent.
t.test(
  'no task runs twice as the agent changes meanwhile',
  CONCURRENT,
  async t => {
    const scene = await openScene(t);
    await restartAsJobArrives(scene);
    scene.vm.minion.path.cut(CUT_MILLISECONDS);
    scene.simulation.restartAgent(scene.vm);
    await pause(WATCH_MILLISECONDS);
    checkRuns(t, scene);
  },
);

// Guards against a lease that a call for the former life gave to the next one.
t.test('no task runs twice while a longer lease lasts', CONCURRENT, async t => {
  const scene = await openScene(t);
  scene.vm.minion.restartUnderSameIdentifier();
  scene.vm.driver?.updateMinion(scene.vm.minion.self);
  scene.vm.minion.extendLeaseByLateCall();
  await pause(300);
  const step = makeStep(24, TASK_MILLICORES);
  await scene.simulation.submit(makeSpecification('job', [step]));
  await pause(60);
  scene.simulation.changeLeader();
  scene.vm.minion.path.cut(CUT_MILLISECONDS);
  scene.simulation.disconnectAgent(scene.vm, CUT_MILLISECONDS);
  await pause(WATCH_MILLISECONDS);
  checkRuns(t, scene);
});

// Guards against an order without an answer that the next life carries out.
t.test(
  'no task runs twice as the next life gets a late order',
  CONCURRENT,
  async t => {
    const scene = await openScene(t);
    scene.simulation.lateShare = 1;
    const step = makeStep(24, TASK_MILLICORES);
    await scene.simulation.submit(makeSpecification('job', [step]));
    await pause(40);
    scene.vm.minion.restartUnderSameIdentifier();
    scene.simulation.lateShare = 0;
    await pause(HEARTBEAT_DELAY_MILLISECONDS);
    scene.vm.driver?.updateMinion(scene.vm.minion.self);
    await pause(WATCH_MILLISECONDS);
    checkRuns(t, scene);
  },
);
