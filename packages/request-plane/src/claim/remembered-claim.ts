/** A claim on a key, as an entry remembers it. */
export interface RememberedClaim {
  readonly key: string;
  readonly requestId: string;
  readonly claimedAt: number;
}
