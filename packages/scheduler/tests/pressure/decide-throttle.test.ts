import t from 'tap';

import {
  decideThrottle,
  MINIMUM_SHARE,
  nextShare,
} from '../../src/pressure/decide-throttle.js';
import { ServiceTimeWindows } from '../../src/pressure/service-time-windows.js';

function windowsWith(milliseconds: number): ServiceTimeWindows {
  const windows = new ServiceTimeWindows();
  for (let index = 0; index < 50; index += 1) {
    windows.observe('service/labels/0#1', milliseconds);
  }
  return windows;
}

function decide(
  share: number,
  latencyWeight: number,
  milliseconds: number,
): number {
  const direction = decideThrottle({
    latencyWeight,
    services: [{ attempt: 'service/labels/0#1', targetMilliseconds: 100 }],
    serviceTimes: windowsWith(milliseconds),
  });
  return nextShare(share, direction);
}

const cases = [
  {
    name: 'latency above the target: the share decreases',
    share: 1,
    weight: 1,
    latency: 150,
    expected: 0.6,
  },
  {
    name: 'the share never falls below the minimum',
    share: 0.25,
    weight: 1,
    latency: 900,
    expected: MINIMUM_SHARE,
  },
  {
    name: 'latency below the target: the share increases by one step',
    share: 0.5,
    weight: 1,
    latency: 50,
    expected: 0.6,
  },
  {
    name: 'latency just below the target: the share stays unchanged',
    share: 0.5,
    weight: 1,
    latency: 98,
    expected: 0.5,
  },
  {
    name: 'a low latency weight tolerates latency above the target',
    share: 1,
    weight: 0.2,
    latency: 150,
    expected: 1,
  },
];

for (const { name, share, weight, latency, expected } of cases) {
  t.test(name, t => {
    t.ok(Math.abs(decide(share, weight, latency) - expected) < 1e-9);
    t.end();
  });
}

t.test('too few samples leave the shares unchanged', t => {
  const windows = new ServiceTimeWindows();
  windows.observe('service/labels/0#1', 900);
  const services = [{ attempt: 'service/labels/0#1', targetMilliseconds: 100 }];
  t.equal(
    decideThrottle({ latencyWeight: 1, services, serviceTimes: windows }),
    'keep',
  );
  t.end();
});

t.test('without a service on the VM the shares increase', t => {
  const windows = new ServiceTimeWindows();
  t.equal(
    decideThrottle({ latencyWeight: 1, services: [], serviceTimes: windows }),
    'increase',
  );
  t.end();
});
