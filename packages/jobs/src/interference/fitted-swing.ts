/** A swing that fits the samples of one job, for an assumed period. */
export interface FittedSwing {
  readonly mean: number;
  readonly cosine: number;
  readonly sine: number;
  /** Weighted squares of what the swing leaves unexplained. */
  readonly cost: number;
  /** Sum of the weights of the samples; that of an exact sample is 1. */
  readonly weight: number;
  /** Inverse of the normal matrix, by rows: mean, cosine, sine. */
  readonly covariance: readonly number[];
}
