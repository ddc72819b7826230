import t from 'tap';

import { InterferenceEstimator } from '../../src/learning/interference-estimator.js';
import type { Candidate } from '../../src/placement/candidate.js';
import { chooseWorker } from '../../src/placement/choose-worker.js';
import type { PlacementRequest } from '../../src/placement/placement-request.js';
import type { ScorerName } from '../../src/placement/scorers.js';
import { scorers } from '../../src/placement/scorers.js';

const size = { processors: 2, memoryGigabytes: 4, accelerators: 0 };

const capacity = { processors: 16, memoryGigabytes: 64, accelerators: 0 };

function candidate(
  worker: string,
  overrides: Partial<Candidate> = {},
): Candidate {
  return {
    worker,
    rack: 'rack-1',
    availabilityZone: 'zone-1',
    capacity,
    availableResources: capacity,
    neighbours: new Map(),
    sameServiceOnWorker: 0,
    sameServiceInRack: 0,
    sameServiceInZone: 0,
    ...overrides,
  };
}

const request: PlacementRequest = {
  task: 'job/x@1',
  taskKind: 'reconcile',
  role: 'job',
  resources: size,
  urgent: false,
  failedOn: [],
};

function interferenceModel(): InterferenceEstimator {
  const model = new InterferenceEstimator();
  for (let round = 0; round < 50; round += 1) {
    model.observe('label', [{ taskKind: 'reconcile', share: 1 }], 0.5);
    model.observe('label', [{ taskKind: 'feed', share: 1 }], 0);
    model.observe('feed', [{ taskKind: 'reconcile', share: 1 }], 0);
    model.observe('reconcile', [{ taskKind: 'feed', share: 1 }], 0);
    model.observe('reconcile', [{ taskKind: 'label', share: 1 }], 0);
  }
  return model;
}

function choose(
  name: ScorerName,
  placementRequest: PlacementRequest,
  candidates: readonly Candidate[],
): string | undefined {
  const context = {
    interference: interferenceModel(),
    latencyWeight: 0.8,
    serviceKinds: new Set(['label']),
  };
  return chooseWorker(placementRequest, candidates, scorers[name], context)
    ?.worker;
}

t.test('batch is placed away from a service that it interferes with', t => {
  const all = [
    candidate('w1', { neighbours: new Map([['label', 1]]) }),
    candidate('w2', { neighbours: new Map([['feed', 1]]) }),
  ];
  t.equal(choose('least-harm', request, all), 'w2');
  t.equal(choose('first-fit', request, all), 'w1');
  t.equal(choose('separate', request, all), 'w2');
  t.end();
});

t.test('minions are spread over racks and availability zones', t => {
  const minion = { ...request, role: 'service' as const, taskKind: 'label' };
  const all = [
    candidate('w1', { sameServiceInRack: 1, sameServiceInZone: 1 }),
    candidate('w2', { rack: 'rack-2', sameServiceInZone: 1 }),
    candidate('w3', { rack: 'rack-3', availabilityZone: 'zone-2' }),
  ];
  t.equal(choose('least-harm', minion, all), 'w3');
  t.equal(choose('least-harm', minion, all.slice(0, 2)), 'w2');
  t.end();
});

t.test('workers with accelerators are kept for tasks that need them', t => {
  const withAccelerators = { ...capacity, accelerators: 4 };
  const all = [
    candidate('w1', {
      capacity: withAccelerators,
      availableResources: withAccelerators,
    }),
    candidate('w2'),
  ];
  t.equal(choose('least-harm', request, all), 'w2');
  const acceleratorRequest = {
    ...request,
    resources: { ...size, accelerators: 1 },
  };
  t.equal(choose('least-harm', acceleratorRequest, all), 'w1');
  t.end();
});

t.test('a worker without enough available resources is not chosen', t => {
  const full = candidate('w1', {
    availableResources: { processors: 1, memoryGigabytes: 64, accelerators: 0 },
  });
  t.equal(choose('least-harm', request, [full]), undefined);
  t.end();
});
