import { randomInt } from 'node:crypto';
import { connect } from 'node:net';

import { systemClock } from '@basilcourse/foundation/clock/system-clock';
import { randomIdentifiers } from '@basilcourse/foundation/identifiers/random-identifiers';
import { createLogger } from '@basilcourse/foundation/logging/create-logger';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { HttpPlatformWorker } from '@basilcourse/scheduler/platform/http-platform-worker';
import { HttpPlatformLog } from '@basilcourse/shared-state/log/http-platform-log';

import type { Settings } from '../settings/settings.js';
import type { NodeDependencies } from './node-dependencies.js';

const MAXIMUM_SEED = 2 ** 31;

/** Creates the dependencies of a node in production. */
export function systemDependencies(settings: Settings): NodeDependencies {
  return {
    clock: systemClock,
    random: seededRandom(randomInt(MAXIMUM_SEED)),
    identifiers: randomIdentifiers,
    log: new HttpPlatformLog(settings.logAddress),
    openSocket: connect,
    workerAt: address => new HttpPlatformWorker(address),
    logger: createLogger(settings.name, settings.logLevel),
  };
}
