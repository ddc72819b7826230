/**
 * A shard of the workers, with the lease that entitles one process to make the
 * scheduling decisions for it.
 */
export interface Cell {
  readonly name: string;
  /** Increases by one with each accepted claim; 0 before the first. */
  readonly epoch: number;
  /** Instance that holds the lease; empty when released. */
  readonly holder: string;
  /** Renewals within the epoch; a release counts as one. */
  readonly renewals: number;
  /** True when the previous holder released the lease itself. */
  readonly cleanHandover: boolean;
}
