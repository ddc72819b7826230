import type { Resources } from '../records/resources.js';

/** A latency-critical service. */
export interface Service {
  readonly name: string;
  readonly team: string;
  /** Number of upstream processes to run. */
  readonly minions: number;
  readonly resources: Resources;
  /** Maximum number of requests that one minion runs at once. */
  readonly slots: number;
  /** Maximum number of connections that one minion accepts. */
  readonly connections: number;
  /** Kind for which usage and interference are estimated. */
  readonly taskKind: string;
  readonly timeoutMilliseconds: number;
  /** Upper target for the 99th percentile of the service time. */
  readonly targetMilliseconds: number;
}
