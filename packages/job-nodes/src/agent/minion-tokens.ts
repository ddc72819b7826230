/** The fencing token of the stream to the leader, and for whom it can be used. */
export class MinionTokens {
  /** Fencing token of the current stream; 0 before the first one. */
  public current = 0;

  /** Highest token that the minion refused after it had accepted a higher one. */
  private refused = 0;

  /** Identifier whose next life may take calls that were meant for the last one. */
  private spentIdentifier = '';

  /** Highest token of these calls; the next life is called under a later one. */
  private spent = 0;

  /** Token instead of which a later one was asked for. */
  private renewed = 0;

  /** Whether the minion has not refused the current token. */
  public get isAccepted(): boolean {
    return this.current > this.refused;
  }

  /** Records that the minion refused a token. */
  public recordRefusal(token: number): void {
    this.refused = token;
  }

  /** Records that an incarnation has ended, so that none has refused a token. */
  public clearRefusal(): void {
    this.refused = 0;
  }

  /** Records that calls under the current token may still be carried out. */
  public spend(identifier: string): void {
    this.spentIdentifier = identifier;
    this.spent = this.current;
  }

  /** Whether calls under the current token may be taken that were not meant for it. */
  public isSpentFor(identifier: string): boolean {
    return identifier === this.spentIdentifier && this.current <= this.spent;
  }

  /** Returns whether a later token is to be asked for, once for each token. */
  public needsRenewal(identifier: string): boolean {
    const needed = this.isSpentFor(identifier) && this.renewed !== this.current;
    if (needed) {
      this.renewed = this.current;
    }
    return needed;
  }
}
