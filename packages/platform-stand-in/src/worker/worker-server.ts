import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import type { JsonResponse } from '@basilcourse/foundation/http/json-response';
import { JsonServer } from '@basilcourse/foundation/http/json-server';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';
import type { StopCommand } from '@basilcourse/scheduler/platform/stop-command';
import type { SyncCommand } from '@basilcourse/scheduler/platform/sync-command';

import type { WorkerFaults } from './worker-faults.js';
import type { WorkerStandIn } from './worker-stand-in.js';

interface ThrottleBody {
  readonly attempt: string;
  readonly share: number;
}

/** Turns the outcome of an operation into an HTTP response. */
async function respondWith(
  operation: () => Promise<unknown>,
): Promise<JsonResponse> {
  try {
    return { status: 200, body: (await operation()) ?? {} };
  } catch (error) {
    const status = error instanceof PeerRefusedError ? error.status : 500;
    return { status, body: { error: messageOf(error) } };
  }
}

/** Creates the HTTP server of a worker stand-in. */
export function createWorkerServer(worker: WorkerStandIn): JsonServer {
  return new JsonServer({
    'POST /sync': ({ body }) =>
      respondWith(() => worker.sync(body as SyncCommand)),
    'POST /start': ({ body }) =>
      respondWith(() => worker.start(body as StartCommand)),
    'POST /stop': ({ body }) =>
      respondWith(() => worker.stop(body as StopCommand)),
    'POST /throttle': ({ body }) =>
      respondWith(() => {
        const { attempt, share } = body as ThrottleBody;
        return worker.throttle(attempt, share);
      }),
    'POST /faults': ({ body }) => {
      worker.setFaults(body as Partial<WorkerFaults>);
      return { status: 200, body: {} };
    },
  });
}
