import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { JobSimulation } from '../support/job-simulation.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';

// Guards against a task given away by a token that only the former life has seen.
t.test('a late order does not run on the next life', async t => {
  const simulation = new JobSimulation(1, 3);
  simulation.workMilliseconds = 4000;
  const [vm] = simulation.vms;
  if (vm === undefined) {
    throw new Error('the simulation has no VM');
  }
  await pause(600);
  simulation.lateShare = 1;
  await simulation.submit(makeSpecification('job', [makeStep(24, 200)]));
  await pause(100);
  simulation.lateShare = 0;
  simulation.restartAgent(vm);
  const { self } = vm.minion;
  const description = { ...self.description, draining: true };
  vm.driver?.updateMinion({ ...self, description });
  await pause(400);
  vm.minion.restartUnderSameIdentifier();
  await pause(1200);
  t.comment(`late orders on the next life: ${vm.minion.startsOfNextLife}`);
  vm.driver?.updateMinion(vm.minion.self);
  await pause(2500);
  simulation.close();
  t.same(simulation.runChecker.violations, []);
});
