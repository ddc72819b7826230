import type { Clock } from '@basilcourse/foundation/clock/clock';
import type { IdentifierSource } from '@basilcourse/foundation/identifiers/identifier-source';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { SocketOpener } from '@basilcourse/request-plane/transport/socket-opener';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import type { PlatformLog } from '@basilcourse/shared-state/log/platform-log';

/** External dependencies of a node; replaced by fakes in tests. */
export interface NodeDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identifiers: IdentifierSource;
  readonly log: PlatformLog;
  readonly openSocket: SocketOpener;
  readonly workerAt: (address: string) => PlatformWorker;
  readonly logger: (part: string) => PartLogger;
}
