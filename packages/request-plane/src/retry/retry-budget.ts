/** Retries that each successful request adds to the budget. */
const RETRIES_PER_SUCCESS = 0.2;

/** Retries allowed before the first successful request. */
const INITIAL_RETRIES = 10;

const MAXIMUM_RETRIES = 100;

/** Limits retries to a share of recent successes, to prevent retry storms. */
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

  /** Takes one retry from the budget; false when the budget is exhausted. */
  public take(): boolean {
    if (this.availableRetries < 1) {
      return false;
    }
    this.availableRetries -= 1;
    this.spentRetries += 1;
    return true;
  }
}
