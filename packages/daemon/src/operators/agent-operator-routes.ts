import type { JsonRoutes } from '@basilcourse/foundation/http/json-server';
import type { UpstreamRegistry } from '@basilcourse/request-plane/agent/upstream-registry';

import type { NodeCore } from '../node/node-core.js';
import { createCommonOperatorRoutes } from './common-operator-routes.js';

/** Creates the HTTP routes that an agent serves to operators. */
export function createAgentOperatorRoutes(
  core: NodeCore,
  registry: UpstreamRegistry,
): JsonRoutes {
  core.metrics.registerGauge(
    'agent_running',
    'Requests that run at the upstreams of the VM.',
    () => registry.running,
  );
  core.metrics.registerGauge(
    'agent_queued',
    'Requests that wait for a slot.',
    () => registry.all.reduce((sum, { gate }) => sum + gate.queued, 0),
  );
  return createCommonOperatorRoutes(core, () =>
    core.members.ofRole('entry').length > 0 ? '' : 'no entry is known',
  );
}
