import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import type { JsonResponse } from '@basilcourse/foundation/http/json-response';
import { JsonServer } from '@basilcourse/foundation/http/json-server';
import type { RecordEnvelope } from '@basilcourse/shared-state/log/record-envelope';

import type { LogFaults } from './log-faults.js';
import type { LogStandIn } from './log-stand-in.js';

/** Turns the outcome of an operation into an HTTP response. */
async function respondWith(
  operation: () => Promise<unknown>,
): Promise<JsonResponse> {
  try {
    return { status: 200, body: await operation() };
  } catch (error) {
    const status = error instanceof PeerRefusedError ? error.status : 500;
    return { status, body: { error: messageOf(error) } };
  }
}

/** Creates the HTTP server of a log stand-in. */
export function createLogServer(log: LogStandIn): JsonServer {
  return new JsonServer({
    'POST /records': ({ body }) =>
      respondWith(async () => ({
        offset: await log.append(body as RecordEnvelope),
      })),
    'GET /records': ({ query }) =>
      respondWith(() =>
        log.read(Number(query.get('from')), Number(query.get('maximum'))),
      ),
    'POST /faults': ({ body }) => {
      log.setFaults(body as Partial<LogFaults>);
      return { status: 200, body: {} };
    },
  });
}
