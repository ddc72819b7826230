/** A past period in which an attempt of a service kept idempotency keys. */
export interface PastMinion {
  readonly attempt: string;
  /** Service with its prefix, such as `service/labels`. */
  readonly owner: string;
  /** Start and end by the holders' clocks, in milliseconds since the epoch. */
  readonly keptFrom: number;
  readonly keptUntil: number;
}
