import type { LogLevel } from '@basilcourse/foundation/logging/create-logger';
import type { RoutingPolicyName } from '@basilcourse/request-plane/routing/routing-policies';
import type { SharedKeys } from '@basilcourse/request-plane/transport/shared-keys';
import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';

/** Settings of one daemon. */
export interface Settings {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly region: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly controlAddress: string;
  readonly operatorsAddress: string;
  readonly callersAddress: string;
  readonly localAddress: string;
  readonly logAddress: string;
  /** Control addresses of some entries, used to join the deployment. */
  readonly entries: readonly string[];
  /** The worker on the same VM; undefined for an entry. */
  readonly worker: WorkerDescription | undefined;
  readonly keys: SharedKeys;
  readonly routing: RoutingPolicyName;
  readonly placement: ScorerName;
  readonly logLevel: LogLevel;
  readonly events: number;
  readonly noticeSeconds: number;
  readonly shutdownSeconds: number;
}
