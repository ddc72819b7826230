import type { Resources } from '@basilcourse/shared-state/records/resources';

/** Response body of the status route, shown by `basilcourse status`. */
export interface Status {
  readonly process: string;
  readonly revision: number;
  readonly storeReachable: boolean;
  readonly logNext: number;
  readonly logLag: number;
  readonly services: readonly ServiceStatus[];
  readonly jobs: readonly JobStatus[];
  readonly workers: readonly WorkerStatus[];
  readonly quotas: readonly QuotaStatus[];
  readonly leases: readonly LeaseStatus[];
  readonly members: readonly MemberStatus[];
}

interface ServiceStatus {
  readonly service: string;
  readonly minions: number;
  readonly assigned: number;
  readonly serving: number;
}

interface JobStatus {
  readonly job: string;
  readonly state: string;
  readonly reason: string;
}

interface WorkerStatus {
  readonly worker: string;
  readonly cell: string;
  readonly condition: string;
  readonly reason: string;
  readonly size: Resources;
  readonly assigned: Resources;
  readonly attempts: number;
}

interface QuotaStatus {
  readonly team: string;
  readonly quota: Resources;
  readonly used: Resources;
}

interface LeaseStatus {
  readonly cell: string;
  readonly holder: string;
  readonly epoch: number;
}

interface MemberStatus {
  readonly id: string;
  readonly role: string;
  readonly state: string;
}
