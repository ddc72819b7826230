/** Share of successes that may be spent on retries. */
const RETRIES_PER_SUCCESS = 0.2;

/** Retries that are allowed without any success. */
const INITIAL_RETRIES = 10;

const MAXIMUM_RETRIES = 100;

/** Bounds retries to a share of recent successes, against retry storms. */
export class RetryBudget {
  private availableRetries = INITIAL_RETRIES;

  private spentRetries = 0;

  public get spent(): number {
    return this.spentRetries;
  }

  public recordSuccess(): void {
    const earned = this.availableRetries + RETRIES_PER_SUCCESS;
    this.availableRetries = Math.min(MAXIMUM_RETRIES, earned);
  }

  /** Takes one retry out of the budget; false when there is none left. */
  public take(): boolean {
    if (this.availableRetries < 1) {
      return false;
    }
    this.availableRetries -= 1;
    this.spentRetries += 1;
    return true;
  }
}
