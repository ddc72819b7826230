interface SizeView {
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
}

/** The status of the deployment, as returned by an entry. */
export interface StatusView {
  readonly process: string;
  readonly revision: number;
  readonly storeReachable: boolean;
  readonly logNext: number;
  readonly logLag: number;
  readonly services: readonly {
    readonly service: string;
    readonly minions: number;
    readonly assigned: number;
    readonly serving: number;
  }[];
  readonly jobs: readonly {
    readonly job: string;
    readonly state: string;
    readonly reason: string;
  }[];
  readonly workers: readonly {
    readonly worker: string;
    readonly cell: string;
    readonly condition: string;
    readonly reason: string;
    readonly size: SizeView;
    readonly assigned: SizeView;
    readonly attempts: number;
  }[];
  readonly leases: readonly {
    readonly cell: string;
    readonly holder: string;
    readonly epoch: number;
  }[];
  readonly quotas: readonly {
    readonly team: string;
    readonly quota: SizeView;
    readonly used: SizeView;
  }[];
  readonly members: readonly {
    readonly id: string;
    readonly role: string;
    readonly state: string;
  }[];
}
