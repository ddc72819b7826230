/** Time for which an instance that refused a connection is excluded. */
const EXCLUSION_MILLISECONDS = 1000;

/** Maximum number of recorded instances; at this size all are discarded. */
const MAXIMUM_INSTANCES = 10_000;

/**
 * Agents whose VM refused a connection or could not be reached.
 *
 * They are left out at once and without a bound on their share: a refused
 * connection carries no load that the others would have to bear.
 */
export class UnreachableAgents {
  private readonly until = new Map<string, number>();

  public recordConnectFailure(instance: string, now: number): void {
    if (this.until.size >= MAXIMUM_INSTANCES) {
      this.until.clear();
    }
    this.until.set(instance, now + EXCLUSION_MILLISECONDS);
  }

  public recordAnswer(instance: string): void {
    this.until.delete(instance);
  }

  /** The candidates whose agents are not excluded; all if each one is. */
  public reachable<Candidate extends { readonly agentInstance: string }>(
    candidates: readonly Candidate[],
    now: number,
  ): readonly Candidate[] {
    const open = candidates.filter(
      ({ agentInstance }) => (this.until.get(agentInstance) ?? 0) <= now,
    );
    return open.length > 0 ? open : candidates;
  }
}
