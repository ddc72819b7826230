/** Limits and weights that apply to the whole deployment. */
export interface Limits {
  /** Weight of service tail latency against batch throughput, 0 to 1. */
  readonly latencyWeight: number;
  /** Duration of the lease under which a task runs on its worker. */
  readonly taskLeaseSeconds: number;
  /** How long a holder that cannot reach the log still renews task leases. */
  readonly storeOutageSeconds: number;
  /** Duration of the lease on a cell. */
  readonly cellLeaseMilliseconds: number;
  readonly cellsPerRegion: number;
  /** Maximum share of workers on probation at once, 0 to 1. */
  readonly probationShare: number;
  /** Bytes per second that requests may send to each other region. */
  readonly crossRegionBytesPerSecond: number;
  /** How long an idempotency key is kept. */
  readonly claimMemorySeconds: number;
}
