import type { JsonRoutes } from '@basilcourse/foundation/http/json-server';
import {
  configurationDigest,
  stateDigest,
} from '@basilcourse/shared-state/snapshot/state-digest';

import type { NodeCore } from '../node/node-core.js';

const HTTP_UNAVAILABLE = 503;

function registerCoreGauges(core: NodeCore): void {
  const { metrics, state, health, appender, members } = core;
  metrics.registerGauge(
    'revision',
    'Revision of the configuration in force.',
    () => state.fold.configuration.revision,
  );
  metrics.registerGauge(
    'log_next_offset',
    'First offset not yet applied.',
    () => state.fold.next,
  );
  metrics.registerGauge(
    'log_lag_records',
    'Records known and not applied.',
    () => state.lag,
  );
  metrics.registerGauge('store_reachable', '1 while the log answers.', () =>
    health.reachable ? 1 : 0,
  );
  metrics.registerGauge('appends', 'Appends sent so far.', () => appender.sent);
  metrics.registerGauge(
    'members',
    'Processes known that are not dead.',
    () => members.all.filter(({ member }) => member.state !== 'dead').length,
  );
}

/**
 * Creates the HTTP routes that every role serves to operators.
 *
 * @param unreadyReason - Returns why the process is not ready; empty if it is.
 */
export function createCommonOperatorRoutes(
  core: NodeCore,
  unreadyReason: () => string,
): JsonRoutes {
  registerCoreGauges(core);
  const { metrics, events, state, settings, instance } = core;
  return {
    'GET /metrics': async () => ({
      status: 200,
      body: await metrics.registry.metrics(),
      contentType: metrics.registry.contentType,
    }),
    'GET /healthz': () => ({ status: 200, body: { status: 'alive' } }),
    'GET /readyz': () => {
      const reason = unreadyReason();
      return reason === ''
        ? { status: 200, body: { status: 'ready' } }
        : { status: HTTP_UNAVAILABLE, body: { error: reason } };
    },
    'GET /events': ({ query }) => ({
      status: 200,
      body: events.since(Number(query.get('since') ?? 0)),
    }),
    'GET /state': () => ({
      status: 200,
      body: {
        process: settings.name,
        instance,
        next: state.fold.next,
        revision: state.fold.configuration.revision,
        configurationDigest: configurationDigest(state.fold),
        stateDigest: stateDigest(state.fold),
      },
    }),
  };
}
