/** Renewed lease of one attempt at its worker. */
export interface LeaseRenewal {
  readonly attempt: string;
  /** End of the lease in milliseconds of Unix time. */
  readonly until: number;
}
