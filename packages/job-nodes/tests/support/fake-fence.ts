import { FencedError } from '../../src/agent/fenced-error.js';

/** Highest fencing token that one life of a fake minion has seen. */
export class FakeFence {
  private highest = 0;

  /** Returns whether a token is not lower than those before. */
  public accepts(token: number): boolean {
    this.highest = Math.max(this.highest, token);
    return token === this.highest;
  }

  /**
   * Checks the token of a call.
   *
   * @throws FencedError if the token is lower than one before.
   */
  public check(step: string, token: number): void {
    if (!this.accepts(token)) {
      throw new FencedError(step, 'fake');
    }
  }
}
