import { measureCapacity } from './capacity/measure-capacity.js';
import { measureColocation } from './colocation/measure-colocation.js';
import { measureColocationPolicy } from './colocation-policy/measure-colocation-policy.js';
import { measureLeaderLoad } from './leader-load/measure-leader-load.js';
import type { Measurement } from './measurement.js';
import { measureRequestPath } from './request-path/measure-request-path.js';
import { measureSharedState } from './shared-state/measure-shared-state.js';

const measurements: Readonly<Record<string, Measurement>> = {
  'request-path': measureRequestPath,
  'shared-state': measureSharedState,
  colocation: measureColocation,
  'colocation-policy': measureColocationPolicy,
  capacity: measureCapacity,
  'leader-load': measureLeaderLoad,
};

const name = process.argv[2] ?? '';
const measurement = measurements[name];
if (measurement === undefined) {
  const names = Object.keys(measurements).join(', ');
  process.stderr.write(`The argument must be one of ${names}.\n`);
  process.exitCode = 2;
} else {
  measurement(line => process.stdout.write(`${line}\n`)).then(
    () => {
      process.exit(0);
    },
    (error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exit(1);
    },
  );
}
