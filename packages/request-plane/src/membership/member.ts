import type { AnnouncedUpstream } from './announced-upstream.js';

/** State of a process in the membership protocol. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One basilcourse process as another process sees it. */
export interface Member {
  readonly id: string;
  /** Identifier of this run of the process; new at each start. */
  readonly instance: string;
  /**
   * Version of the process's own state; raised by the process at each change.
   */
  readonly incarnation: number;
  readonly role: 'entry' | 'agent';
  /** IP address and port for other processes. */
  readonly address: string;
  /** Address at which the process serves its metrics and events. */
  readonly operatorsAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly state: MemberState;
  /** Address of the worker on the same VM; empty for an entry. */
  readonly workerAddress: string;
  /** Name of that worker. */
  readonly worker: string;
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
  readonly upstreams: readonly AnnouncedUpstream[];
  /** Instances of the processes that miss its heartbeats. */
  readonly suspectedBy: readonly string[];
}
