/** Runs at most a fixed number of actions at once, the others in order. */
export class ConcurrencyLimit {
  private readonly maximum: number;

  private readonly waiting: (() => void)[] = [];

  private running = 0;

  public constructor(maximum: number) {
    this.maximum = maximum;
  }

  /** Runs an action once fewer than the maximum are in progress. */
  public async run<T>(action: () => Promise<T>): Promise<T> {
    if (this.running >= this.maximum) {
      await new Promise<void>(resolve => {
        this.waiting.push(resolve);
      });
    } else {
      this.running += 1;
    }
    try {
      return await action();
    } finally {
      this.release();
    }
  }

  /** Passes the place to the next waiting action, if there is one. */
  private release(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.running -= 1;
    } else {
      next();
    }
  }
}
