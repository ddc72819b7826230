import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { ProcessMetrics } from './process-metrics.js';

const TEXT_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

const INTERNAL_ERROR_STATUS = 500;

/** Creates the server that serves the metrics of the process at any path. */
export function createMetricsServer(
  metrics: ProcessMetrics,
  logger: PartLogger,
): Server {
  return createServer((incoming, response) => {
    incoming.resume();
    metrics.text().then(
      text => {
        response.setHeader('content-type', TEXT_CONTENT_TYPE);
        response.end(text);
      },
      (error: unknown) => {
        logger.error('The metrics could not be read.', {
          reason: messageOf(error),
        });
        response.statusCode = INTERNAL_ERROR_STATUS;
        response.end();
      },
    );
  });
}
