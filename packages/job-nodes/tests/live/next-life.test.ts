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

/** An order that gets no answer is carried out before this time. */
const START_TIMEOUT_MILLISECONDS = 2000;

/** Times that a case is set up until the next life begins runs. */
const MAXIMUM_TRIES = 6;

const CUT_MILLISECONDS = 12_000;

/** Time in which tasks that were given away have been started elsewhere. */
const WATCH_MILLISECONDS = 9000;

/** Three VMs; the minion of `vm` starts again under its identifier. */
interface Scene {
  readonly simulation: JobSimulation;
  readonly vm: SimulatedVm;
}

async function openScene(): Promise<Scene> {
  const simulation = new JobSimulation(1, 3);
  simulation.workMilliseconds = WORK_MILLISECONDS;
  const [vm] = simulation.vms;
  if (vm === undefined) {
    throw new Error('the simulation has no VM');
  }
  await pause(600);
  return { simulation, vm };
}

function submitJob({ simulation }: Scene): Promise<void> {
  const step = makeStep(24, TASK_MILLICORES);
  return simulation.submit(makeSpecification('job', [step]));
}

/** Waits until the next life has begun runs, or certainly will begin none. */
async function waitForRuns({ vm }: Scene): Promise<void> {
  const until = performance.now() + START_TIMEOUT_MILLISECONDS;
  while (vm.minion.startsOfNextLife === 0 && performance.now() < until) {
    await pause(5);
  }
}

async function restartAsJobArrives(scene: Scene): Promise<void> {
  scene.vm.minion.restartUnderSameIdentifier();
  await submitJob(scene);
  await waitForRuns(scene);
  await pause(30);
}

function sendHeartbeat({ vm }: Scene): void {
  vm.driver?.updateMinion(vm.minion.self);
}

/** The VM is cut off from its minion and from the leader, which changes. */
function cutVmAsLeaderChanges({ simulation, vm }: Scene): void {
  simulation.changeLeader();
  vm.minion.path.cut(CUT_MILLISECONDS);
  simulation.disconnectAgent(vm, CUT_MILLISECONDS);
}

/** The next life ends runs before the agent polls it, under numbers already stored. */
async function endRunsUnseen(scene: Scene): Promise<void> {
  const { simulation, vm } = scene;
  simulation.workMilliseconds = 20;
  await submitJob(scene);
  await pause(1500);
  vm.minion.restartUnderSameIdentifier();
  const step = makeStep(24, TASK_MILLICORES);
  await simulation.submit(makeSpecification('later', [step]));
  await waitForRuns(scene);
}

/** How a task could run twice, by what each case guards against. */
const CASES: Readonly<Record<string, (scene: Scene) => Promise<void>>> = {
  'tasks that are given away as the next life is met, which runs them':
    async scene => {
      await restartAsJobArrives(scene);
      await pause(HEARTBEAT_DELAY_MILLISECONDS);
      sendHeartbeat(scene);
    },
  'tasks that are given away while a life that nobody met is cut off':
    async scene => {
      await restartAsJobArrives(scene);
      scene.vm.minion.path.cut(CUT_MILLISECONDS);
    },
  'a later leader that reckons with the lease of the former life':
    async scene => {
      await restartAsJobArrives(scene);
      cutVmAsLeaderChanges(scene);
    },
  'a later agent that does not know the starts of the one before it':
    async scene => {
      await restartAsJobArrives(scene);
      scene.vm.minion.path.cut(CUT_MILLISECONDS);
      scene.simulation.restartAgent(scene.vm);
    },
  'a later agent that meets the next life': async scene => {
    await restartAsJobArrives(scene);
    scene.simulation.restartAgent(scene.vm);
  },
  'a lease that a call for the former life gave to the next one':
    async scene => {
      scene.vm.minion.restartUnderSameIdentifier();
      sendHeartbeat(scene);
      scene.vm.minion.extendLeaseByLateCall();
      await pause(300);
      await submitJob(scene);
      await waitForRuns(scene);
      await pause(1000);
      cutVmAsLeaderChanges(scene);
    },
  'an acknowledgement for the former life that the next one takes':
    endRunsUnseen,
  'an order without an answer that the next life carries out': async scene => {
    scene.simulation.lateShare = 1;
    await submitJob(scene);
    scene.vm.minion.restartUnderSameIdentifier();
    scene.simulation.lateShare = 0;
    await pause(HEARTBEAT_DELAY_MILLISECONDS);
    sendHeartbeat(scene);
  },
};

interface Outcome {
  readonly violations: readonly string[];
  readonly startsOfNextLife: number;
}

/** Sets a case up: on a busy computer the agent may meet the next life too early. */
async function setUp(cause: (scene: Scene) => Promise<void>): Promise<Scene> {
  for (let tries = 1; ; tries += 1) {
    const scene = await openScene();
    await cause(scene);
    if (scene.vm.minion.startsOfNextLife > 0 || tries === MAXIMUM_TRIES) {
      return scene;
    }
    scene.simulation.close();
  }
}

async function play(cause: (scene: Scene) => Promise<void>): Promise<Outcome> {
  const { simulation, vm } = await setUp(cause);
  await pause(WATCH_MILLISECONDS);
  simulation.close();
  return {
    violations: simulation.runChecker.violations,
    startsOfNextLife: vm.minion.startsOfNextLife,
  };
}

const outcomes = Object.entries(CASES).map(
  ([name, cause]) => [name, play(cause)] as const,
);

for (const [name, outcome] of outcomes) {
  t.test(`no task runs twice: ${name}`, async t => {
    const { violations, startsOfNextLife } = await outcome;
    t.same(violations, []);
    t.ok(startsOfNextLife > 0, `${startsOfNextLife} runs on the next life`);
  });
}
