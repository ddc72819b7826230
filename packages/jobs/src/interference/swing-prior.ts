/** What is assumed of a swing before it is measured. */
export interface SwingPrior {
  readonly mean: number;
  readonly meanDeviation: number;
  /** Factors of the cosine and of the sine; 0 if the phase is not known. */
  readonly cosine: number;
  readonly sine: number;
  /** Standard deviation of these two factors. */
  readonly swingDeviation: number;
}
