import type { AgentNode } from '@basilcourse/daemon/node/agent-node';
import type { JsonServer } from '@basilcourse/foundation/http/json-server';
import type { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';

import type { UpstreamHost } from './upstream-host.js';

/** One VM: a worker stand-in, its upstreams and the agent on the same VM. */
export interface DeploymentVm {
  readonly worker: WorkerStandIn;
  readonly workerServer: JsonServer;
  readonly workerAddress: string;
  readonly host: UpstreamHost;
  readonly agent: AgentNode | undefined;
  readonly region: string;
  readonly zone: string;
}
